package org.sequoiareach.standin.kv;

import java.util.List;

/** Is a transaction: one of two lists of operations, chosen by the comparisons. */
record Txn(List<Comparison> comparisons, List<Operation> success, List<Operation> failure) {

  static Txn of(Operation operation) {
    return new Txn(List.of(), List.of(operation), List.of());
  }
}
