package org.sequoiareach.standin.kv;

import java.util.List;
import java.util.Optional;

/** Is the result of one operation of a transaction. */
sealed interface OperationResult {

  /** Holds what a read found; {@code count} also counts the keys beyond the limit. */
  record Range(List<KeyValue> entries, boolean more, long count) implements OperationResult {}

  /** Holds the entry that a put replaced, where it was asked for. */
  record Put(Optional<KeyValue> previous) implements OperationResult {}

  /** Holds the entries that were deleted; they are shown only where asked for. */
  record Delete(List<KeyValue> deleted, boolean previous) implements OperationResult {}
}
