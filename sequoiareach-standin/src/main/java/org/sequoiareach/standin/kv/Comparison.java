package org.sequoiareach.standin.kv;

import java.util.Optional;

/**
 * Is one condition of a transaction. It must hold for each key of its range; a single key that does
 * not exist counts as one with all numbers 0 and no value.
 */
record Comparison(KeyRange range, Target target, Result result, String value, long number) {

  /** Names the part of an entry that is compared. */
  enum Target {
    VERSION,
    CREATE,
    MOD,
    VALUE,
    LEASE
  }

  /** Names the relation that must hold between the entry and the operand. */
  enum Result {
    EQUAL,
    GREATER,
    LESS,
    NOT_EQUAL
  }

  boolean holds(Optional<KeyValue> entry) {
    if (target == Target.VALUE) {
      return entry.isPresent() && accepts(entry.get().value().compareTo(value));
    }
    long found = entry.map(this::numberOf).orElse(0L);
    return accepts(Long.compare(found, number));
  }

  private long numberOf(KeyValue entry) {
    return switch (target) {
      case VERSION -> entry.version();
      case CREATE -> entry.createRevision();
      case MOD -> entry.modRevision();
      case LEASE -> entry.lease();
      case VALUE -> throw new IllegalStateException("A value is no number.");
    };
  }

  private boolean accepts(int order) {
    return switch (result) {
      case EQUAL -> order == 0;
      case GREATER -> order > 0;
      case LESS -> order < 0;
      case NOT_EQUAL -> order != 0;
    };
  }
}
