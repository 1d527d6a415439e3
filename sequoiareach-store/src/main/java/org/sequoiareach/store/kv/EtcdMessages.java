package org.sequoiareach.store.kv;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

/**
 * The subset of messages of the etcd v3 JSON mapping that this client uses. Keys and values are
 * base64-encoded.
 */
final class EtcdMessages {

  private EtcdMessages() {}

  static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  static String decode(String base64) {
    if (base64 == null) {
      return "";
    }
    return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
  }

  /** Requests one key, or all keys from {@code key} to {@code rangeEnd}, exclusive. */
  record RangeRequest(String key, @JsonProperty("range_end") String rangeEnd) {

    static RangeRequest ofKey(String key) {
      return new RangeRequest(encode(key), null);
    }

    static RangeRequest ofPrefix(String prefix) {
      byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
      // UTF-8 text never contains the byte 0xFF, so the last byte can always be incremented.
      end[end.length - 1]++;
      return new RangeRequest(encode(prefix), Base64.getEncoder().encodeToString(end));
    }
  }

  record KeyValue(
      String key,
      String value,
      @JsonProperty("create_revision") @JsonAlias("createRevision") long createRevision,
      @JsonProperty("mod_revision") @JsonAlias("modRevision") long modRevision,
      long lease) {

    KeyValueEntry toEntry() {
      return new KeyValueEntry(decode(key), decode(value), createRevision, modRevision, lease);
    }
  }

  record Header(long revision) {}

  record RangeResponse(Header header, List<KeyValue> kvs) {

    List<KeyValueEntry> entries() {
      return kvs == null ? List.of() : kvs.stream().map(KeyValue::toEntry).toList();
    }
  }

  record Compare(
      String key, String target, String result, @JsonProperty("mod_revision") String modRevision) {

    static Compare of(Transaction.Condition condition) {
      String revision = Long.toString(condition.modRevision());
      return new Compare(encode(condition.key()), "MOD", "EQUAL", revision);
    }
  }

  record PutRequest(String key, String value, String lease) {

    static PutRequest of(Transaction.Put put) {
      String lease = put.leaseId() == 0 ? null : Long.toString(put.leaseId());
      return new PutRequest(encode(put.key()), encode(put.value()), lease);
    }
  }

  record DeleteRequest(String key) {}

  record RequestOp(
      @JsonProperty("request_range") RangeRequest range,
      @JsonProperty("request_put") PutRequest put,
      @JsonProperty("request_delete_range") DeleteRequest delete) {

    static RequestOp read(String key) {
      return new RequestOp(RangeRequest.ofKey(key), null, null);
    }

    static RequestOp write(Transaction.Put put) {
      return new RequestOp(null, PutRequest.of(put), null);
    }

    static RequestOp remove(String key) {
      return new RequestOp(null, null, new DeleteRequest(encode(key)));
    }
  }

  record TxnRequest(List<Compare> compare, List<RequestOp> success, List<RequestOp> failure) {}

  record ResponseOp(
      @JsonProperty("response_range") @JsonAlias("responseRange") RangeResponse range) {}

  record TxnResponse(Header header, boolean succeeded, List<ResponseOp> responses) {

    List<KeyValueEntry> entries() {
      if (responses == null) {
        return List.of();
      }
      return responses.stream()
          .filter(response -> response.range() != null)
          .flatMap(response -> response.range().entries().stream())
          .toList();
    }
  }

  record LeaseGrantRequest(@JsonProperty("TTL") String ttlSeconds) {}

  record LeaseGrantResponse(@JsonProperty("ID") long id) {}

  record LeaseRequest(@JsonProperty("ID") String id) {}

  record KeepAliveResponse(KeepAliveResult result) {

    boolean isAlive() {
      return result != null && result.ttlSeconds() > 0;
    }
  }

  record RevokeResponse(Header header) {}

  record KeepAliveResult(@JsonProperty("ID") long id, @JsonProperty("TTL") long ttlSeconds) {}

  record WatchRequest(@JsonProperty("create_request") WatchCreate create) {}

  record WatchCreate(String key, @JsonProperty("start_revision") String startRevision) {}

  record WatchResponse(WatchResult result) {}

  record WatchResult(boolean created, boolean canceled, List<WatchEvent> events) {}

  record WatchEvent(String type, KeyValue kv) {

    boolean isDelete() {
      return "DELETE".equals(type);
    }
  }
}
