package org.sequoiareach.standin.kv;

import java.util.List;

/**
 * Represents a transaction: {@code success} is executed if all comparisons hold, and {@code
 * failure} otherwise.
 */
record Txn(List<TxnComparison> comparisons, List<Operation> success, List<Operation> failure) {

  static Txn of(Operation operation) {
    return new Txn(List.of(), List.of(operation), List.of());
  }
}
