package org.sequoiareach.standin.kv;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Computes the expected results of a key-value store without leases from a plain map of entries.
 */
final class KvReferenceModel {

  private final Map<String, KeyValue> map = new HashMap<>();
  private final List<KvEvent> events = new ArrayList<>();
  private List<OperationResult> results = List.of();
  private long revision = 1;

  boolean apply(Txn txn) {
    boolean all = true;
    for (TxnComparison comparison : txn.comparisons()) {
      all &= holds(comparison);
    }
    int before = events.size();
    results = new ArrayList<>();
    for (Operation operation : all ? txn.success() : txn.failure()) {
      results.add(run(operation));
    }
    revision += events.size() > before ? 1 : 0;
    return all;
  }

  long revision() {
    return revision;
  }

  List<OperationResult> results() {
    return results;
  }

  List<KvEvent> events() {
    return events;
  }

  List<KeyValue> entries() {
    return map.values().stream().sorted(Comparator.comparing(KeyValue::key)).toList();
  }

  private boolean holds(TxnComparison comparison) {
    List<KeyValue> found = matching(comparison.range());
    if (found.isEmpty()) {
      boolean number = comparison.target() != TxnComparison.Target.VALUE;
      boolean single = comparison.range().end().isEmpty();
      return !single || (number && compare(0, comparison.number(), comparison.result()));
    }
    return found.stream().allMatch(entry -> holds(comparison, entry));
  }

  private static boolean holds(TxnComparison comparison, KeyValue entry) {
    long number = comparison.number();
    return switch (comparison.target()) {
      case VERSION -> compare(entry.version(), number, comparison.result());
      case CREATE -> compare(entry.createRevision(), number, comparison.result());
      case MOD -> compare(entry.modRevision(), number, comparison.result());
      case LEASE -> compare(entry.lease(), number, comparison.result());
      case VALUE -> compare(entry.value().compareTo(comparison.value()), 0, comparison.result());
    };
  }

  private static boolean compare(long left, long right, TxnComparison.Result result) {
    return switch (result) {
      case EQUAL -> left == right;
      case NOT_EQUAL -> left != right;
      case GREATER -> left > right;
      case LESS -> left < right;
    };
  }

  private OperationResult run(Operation operation) {
    if (operation instanceof Operation.Put put) {
      KeyValue old = map.get(put.key());
      long created = old == null ? revision + 1 : old.createRevision();
      long version = old == null ? 1 : old.version() + 1;
      KeyValue entry =
          new KeyValue(put.key(), put.value(), created, revision + 1, version, put.lease());
      map.put(put.key(), entry);
      events.add(new KvEvent(false, entry));
      return new OperationResult.Put(Optional.ofNullable(put.previous() ? old : null));
    }
    if (operation instanceof Operation.Delete delete) {
      List<KeyValue> deleted = matching(delete.range());
      for (KeyValue entry : deleted) {
        map.remove(entry.key());
        events.add(new KvEvent(true, new KeyValue(entry.key(), "", 0, revision + 1, 0, 0)));
      }
      return new OperationResult.Delete(deleted, delete.previous());
    }
    Operation.Range range = (Operation.Range) operation;
    List<KeyValue> found = matching(range.range());
    long shown = range.limit() == 0 ? found.size() : Math.min(found.size(), range.limit());
    return new OperationResult.Range(
        found.subList(0, (int) shown), shown < found.size(), found.size());
  }

  private List<KeyValue> matching(KeyRange range) {
    return entries().stream()
        .filter(
            entry -> {
              int order = entry.key().compareTo(range.key());
              boolean inside = range.end().equals("\0") || entry.key().compareTo(range.end()) < 0;
              return range.end().isEmpty() ? order == 0 : order >= 0 && inside;
            })
        .toList();
  }
}
