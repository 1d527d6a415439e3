package org.sequoiareach.standin.kv;

import java.util.Optional;

/**
 * Represents one condition of a transaction, which must hold for every key of its range.
 *
 * <p>If the range is a single key that does not exist, its version, revisions and lease count as 0,
 * and a comparison of its value fails.
 */
record TxnComparison(KeyRange range, Target target, Result result, String value, long number) {

  /** Enumerates the properties of an entry that can be compared. */
  enum Target {
    VERSION,
    CREATE,
    MOD,
    VALUE,
    LEASE
  }

  /** Enumerates the relations between the property and the operand. */
  enum Result {
    EQUAL,
    GREATER,
    LESS,
    NOT_EQUAL
  }

  boolean holds(Optional<KeyValue> entry) {
    if (target == Target.VALUE) {
      return entry.isPresent() && matches(entry.get().value().compareTo(value));
    }
    long found = entry.map(this::numericProperty).orElse(0L);
    return matches(Long.compare(found, number));
  }

  private long numericProperty(KeyValue entry) {
    return switch (target) {
      case VERSION -> entry.version();
      case CREATE -> entry.createRevision();
      case MOD -> entry.modRevision();
      case LEASE -> entry.lease();
      case VALUE -> throw new IllegalStateException("The target VALUE has no numeric property.");
    };
  }

  private boolean matches(int order) {
    return switch (result) {
      case EQUAL -> order == 0;
      case GREATER -> order > 0;
      case LESS -> order < 0;
      case NOT_EQUAL -> order != 0;
    };
  }
}
