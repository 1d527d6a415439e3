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
 * Reads calls and writes answers in the JSON mapping of the etcd v3 API.
 *
 * <p>Calls may name their members in camel case or with underscores, and may give numbers as texts
 * or as numbers. Answers use underscores, give 64-bit numbers as texts, and leave out members with
 * their default value, as the service itself does.
 */
final class KvCodec {

  private KvCodec() {}

  static Operation.Range readRange(JsonNode node) {
    if (number(node, "revision") != 0 || node.path("sort_order").isTextual()) {
      throw new KvErrorException(
          KvErrorException.Kind.UNIMPLEMENTED, "no past revisions and no sort orders here");
    }
    return new Operation.Range(
        readKeyRange(node),
        number(node, "limit"),
        flag(node, "keys_only"),
        flag(node, "count_only"));
  }

  static Operation.Put readPut(JsonNode node) {
    return new Operation.Put(
        key(node), bytes(node, "value"), number(node, "lease"), flag(node, "prev_kv"));
  }

  static Operation.Delete readDelete(JsonNode node) {
    return new Operation.Delete(readKeyRange(node), flag(node, "prev_kv"));
  }

  static Txn readTxn(JsonNode node) {
    List<Comparison> comparisons = new ArrayList<>();
    node.path("compare").forEach(item -> comparisons.add(readComparison(item)));
    return new Txn(
        comparisons, readOperations(node.path("success")), readOperations(node.path("failure")));
  }

  static KeyRange readKeyRange(JsonNode node) {
    return new KeyRange(key(node), bytes(node, "range_end"));
  }

  static long number(JsonNode node, String name) {
    JsonNode found = member(node, name);
    if (found.isMissingNode() || found.isNull()) {
      return 0;
    }
    try {
      return Long.parseLong(found.asText());
    } catch (NumberFormatException e) {
      throw invalid(name + " is no 64-bit number");
    }
  }

  static JsonNode member(JsonNode node, String name) {
    JsonNode found = node.path(name);
    return found.isMissingNode() ? node.path(camelCase(name)) : found;
  }

  static ObjectNode object(long revision) {
    ObjectNode node = Json.mapper().createObjectNode();
    node.putObject("header")
        .put("cluster_id", "1")
        .put("member_id", "1")
        .put("revision", Long.toString(revision))
        .put("raft_term", "1");
    return node;
  }

  static ObjectNode writeTxn(TxnResult result) {
    ObjectNode node = object(result.revision());
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
    ObjectNode node = object(revision);
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
    ObjectNode result = object(batch.revision());
    ArrayNode events = result.putArray("events");
    for (KvEvent event : batch.events()) {
      ObjectNode item = events.addObject();
      if (event.deleted()) {
        item.put("type", "DELETE");
      }
      item.set("kv", writeEntry(event.entry()));
    }
    return result(result);
  }

  /** Wraps an answer of a stream. */
  static ObjectNode result(ObjectNode answer) {
    return Json.mapper().createObjectNode().set("result", answer);
  }

  static ObjectNode error(KvErrorException thrown) {
    return Json.mapper()
        .createObjectNode()
        .put("error", thrown.getMessage())
        .put("code", thrown.kind().code())
        .put("message", thrown.getMessage());
  }

  static void putNumber(ObjectNode node, String name, long value) {
    if (value != 0) {
      node.put(name, Long.toString(value));
    }
  }

  private static Comparison readComparison(JsonNode node) {
    Comparison.Target target = constant(Comparison.Target.values(), node.path("target"), "target");
    Comparison.Result result = constant(Comparison.Result.values(), node.path("result"), "result");
    String operand =
        switch (target) {
          case VERSION -> "version";
          case CREATE -> "create_revision";
          case MOD -> "mod_revision";
          case LEASE -> "lease";
          case VALUE -> "value";
        };
    boolean value = target == Comparison.Target.VALUE;
    return new Comparison(
        readKeyRange(node),
        target,
        result,
        value ? bytes(node, operand) : "",
        value ? 0 : number(node, operand));
  }

  private static <E extends Enum<E>> E constant(E[] values, JsonNode node, String name) {
    if (node.isMissingNode()) {
      return values[0];
    }
    for (E value : values) {
      if (node.asText().equals(value.name()) || node.asText().equals("" + value.ordinal())) {
        return value;
      }
    }
    throw invalid("unknown " + name + " " + node);
  }

  private static List<Operation> readOperations(JsonNode nodes) {
    List<Operation> operations = new ArrayList<>();
    for (JsonNode node : nodes) {
      operations.add(readOperation(node));
    }
    return operations;
  }

  private static Operation readOperation(JsonNode node) {
    JsonNode put = member(node, "request_put");
    if (put.isObject()) {
      return readPut(put);
    }
    JsonNode range = member(node, "request_range");
    if (range.isObject()) {
      return readRange(range);
    }
    JsonNode delete = member(node, "request_delete_range");
    if (delete.isObject()) {
      return readDelete(delete);
    }
    throw new KvErrorException(
        KvErrorException.Kind.UNIMPLEMENTED, "unknown operation in txn request");
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

  private static String key(JsonNode node) {
    String key = bytes(node, "key");
    if (key.isEmpty()) {
      throw invalid("key is not provided");
    }
    return key;
  }

  private static String bytes(JsonNode node, String name) {
    try {
      byte[] decoded = Base64.getDecoder().decode(member(node, name).asText(""));
      return new String(decoded, StandardCharsets.ISO_8859_1);
    } catch (IllegalArgumentException e) {
      throw invalid(name + " is not base64");
    }
  }

  private static String encode(String bytes) {
    return Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static boolean flag(JsonNode node, String name) {
    return member(node, name).asBoolean(false);
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

  private static KvErrorException invalid(String message) {
    return new KvErrorException(KvErrorException.Kind.INVALID_ARGUMENT, message);
  }
}
