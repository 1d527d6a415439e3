package org.sequoiareach.standin.kv;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.sequoiareach.model.json.Json;

/**
 * Reads requests and writes responses in the JSON mapping of the etcd v3 API.
 *
 * <p>Requests may name fields in camel case or with underscores, and may represent numbers as
 * strings or as numbers. Responses use underscores, represent 64-bit numbers as strings and omit
 * fields with default values, as etcd does.
 */
final class KvCodec {

  private KvCodec() {}

  static Operation.Range readRange(JsonNode node) {
    if (readLong(node, "revision") != 0 || node.path("sort_order").isTextual()) {
      throw new KvApiException(
          KvApiException.Kind.UNIMPLEMENTED,
          "reads at past revisions and sort orders are not supported");
    }
    return new Operation.Range(
        readKeyRange(node),
        readLong(node, "limit"),
        readBoolean(node, "keys_only"),
        readBoolean(node, "count_only"));
  }

  static Operation.Put readPut(JsonNode node) {
    return new Operation.Put(
        readKey(node),
        readBytes(node, "value"),
        readLong(node, "lease"),
        readBoolean(node, "prev_kv"));
  }

  static Operation.Delete readDelete(JsonNode node) {
    return new Operation.Delete(readKeyRange(node), readBoolean(node, "prev_kv"));
  }

  static Txn readTxn(JsonNode node) {
    List<TxnComparison> comparisons = new ArrayList<>();
    node.path("compare").forEach(item -> comparisons.add(readComparison(item)));
    return new Txn(
        comparisons, readOperations(node.path("success")), readOperations(node.path("failure")));
  }

  static KeyRange readKeyRange(JsonNode node) {
    return new KeyRange(readKey(node), readBytes(node, "range_end"));
  }

  static long readLong(JsonNode node, String name) {
    JsonNode found = field(node, name);
    if (found.isMissingNode() || found.isNull()) {
      return 0;
    }
    try {
      return Long.parseLong(found.asText());
    } catch (NumberFormatException e) {
      throw invalidArgument(name + " is not a 64-bit number: " + found);
    }
  }

  static JsonNode field(JsonNode node, String name) {
    JsonNode found = node.path(name);
    return found.isMissingNode() ? node.path(camelCase(name)) : found;
  }

  static ObjectNode responseWithHeader(long revision) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.putObject("header")
        .put("cluster_id", "1")
        .put("member_id", "1")
        .put("revision", Long.toString(revision))
        .put("raft_term", "1");
    return node;
  }

  static ObjectNode writeTxn(TxnResult result) {
    ObjectNode node = responseWithHeader(result.revision());
    if (result.succeeded()) {
      node.put("succeeded", true);
    }
    if (!result.results().isEmpty()) {
      ArrayNode responses = node.putArray("responses");
      for (OperationResult item : result.results()) {
        responses.addObject().set(responseName(item), writeResult(item, result.revision()));
      }
    }
    return node;
  }

  static ObjectNode writeResult(OperationResult result, long revision) {
    ObjectNode node = responseWithHeader(revision);
    if (result instanceof OperationResult.Range range) {
      writeEntries(node, "kvs", range.entries());
      if (range.more()) {
        node.put("more", true);
      }
      putNumber(node, "count", range.count());
    } else if (result instanceof OperationResult.Put put) {
      put.previous().ifPresent(entry -> node.set("prev_kv", writeEntry(entry)));
    } else if (result instanceof OperationResult.Delete delete) {
      putNumber(node, "deleted", delete.deleted().size());
      writeEntries(node, "prev_kvs", delete.previous() ? delete.deleted() : List.of());
    }
    return node;
  }

  static ObjectNode writeWatchBatch(KvStore.WatchBatch batch) {
    ObjectNode result = responseWithHeader(batch.revision());
    ArrayNode events = result.putArray("events");
    for (KvEvent event : batch.events()) {
      ObjectNode item = events.addObject();
      if (event.deleted()) {
        item.put("type", "DELETE");
      }
      item.set("kv", writeEntry(event.entry()));
    }
    return streamResponse(result);
  }

  /** Wraps a message of a streaming response. */
  static ObjectNode streamResponse(ObjectNode response) {
    return Json.mapper().createObjectNode().set("result", response);
  }

  static ObjectNode error(KvApiException exception) {
    return Json.mapper()
        .createObjectNode()
        .put("error", exception.getMessage())
        .put("code", exception.kind().code())
        .put("message", exception.getMessage());
  }

  static void putNumber(ObjectNode node, String name, long value) {
    if (value != 0) {
      node.put(name, Long.toString(value));
    }
  }

  private static TxnComparison readComparison(JsonNode node) {
    TxnComparison.Target target =
        readEnum(TxnComparison.Target.values(), node.path("target"), "target");
    TxnComparison.Result result =
        readEnum(TxnComparison.Result.values(), node.path("result"), "result");
    String operand =
        switch (target) {
          case VERSION -> "version";
          case CREATE -> "create_revision";
          case MOD -> "mod_revision";
          case LEASE -> "lease";
          case VALUE -> "value";
        };
    boolean comparesValue = target == TxnComparison.Target.VALUE;
    return new TxnComparison(
        readKeyRange(node),
        target,
        result,
        comparesValue ? readBytes(node, operand) : "",
        comparesValue ? 0 : readLong(node, operand));
  }

  private static <E extends Enum<E>> E readEnum(E[] values, JsonNode node, String name) {
    if (node.isMissingNode()) {
      return values[0];
    }
    for (E value : values) {
      if (node.asText().equals(value.name()) || node.asText().equals("" + value.ordinal())) {
        return value;
      }
    }
    throw invalidArgument("unknown " + name + " " + node);
  }

  private static List<Operation> readOperations(JsonNode nodes) {
    List<Operation> operations = new ArrayList<>();
    for (JsonNode node : nodes) {
      operations.add(readOperation(node));
    }
    return operations;
  }

  private static Operation readOperation(JsonNode node) {
    JsonNode put = field(node, "request_put");
    if (put.isObject()) {
      return readPut(put);
    }
    JsonNode range = field(node, "request_range");
    if (range.isObject()) {
      return readRange(range);
    }
    JsonNode delete = field(node, "request_delete_range");
    if (delete.isObject()) {
      return readDelete(delete);
    }
    throw new KvApiException(KvApiException.Kind.UNIMPLEMENTED, "unknown operation in txn request");
  }

  private static String responseName(OperationResult result) {
    if (result instanceof OperationResult.Range) {
      return "response_range";
    }
    return result instanceof OperationResult.Put ? "response_put" : "response_delete_range";
  }

  private static void writeEntries(ObjectNode node, String name, List<KeyValue> entries) {
    if (!entries.isEmpty()) {
      ArrayNode items = node.putArray(name);
      entries.forEach(entry -> items.add(writeEntry(entry)));
    }
  }

  private static ObjectNode writeEntry(KeyValue entry) {
    ObjectNode node = Json.mapper().createObjectNode().put("key", encode(entry.key()));
    putNumber(node, "create_revision", entry.createRevision());
    putNumber(node, "mod_revision", entry.modRevision());
    putNumber(node, "version", entry.version());
    if (!entry.value().isEmpty()) {
      node.put("value", encode(entry.value()));
    }
    putNumber(node, "lease", entry.lease());
    return node;
  }

  private static String readKey(JsonNode node) {
    String key = readBytes(node, "key");
    if (key.isEmpty()) {
      throw invalidArgument("key is not provided");
    }
    return key;
  }

  private static String readBytes(JsonNode node, String name) {
    try {
      byte[] decoded = Base64.getDecoder().decode(field(node, name).asText(""));
      return new String(decoded, StandardCharsets.ISO_8859_1);
    } catch (IllegalArgumentException e) {
      throw invalidArgument(name + " is not base64");
    }
  }

  private static String encode(String bytes) {
    return Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static boolean readBoolean(JsonNode node, String name) {
    return field(node, name).asBoolean(false);
  }

  private static String camelCase(String name) {
    StringBuilder text = new StringBuilder();
    boolean upper = false;
    for (char c : name.toCharArray()) {
      if (c == '_') {
        upper = true;
        continue;
      }
      text.append(upper ? Character.toUpperCase(c) : c);
      upper = false;
    }
    return text.toString();
  }

  private static KvApiException invalidArgument(String message) {
    return new KvApiException(KvApiException.Kind.INVALID_ARGUMENT, message);
  }
}
