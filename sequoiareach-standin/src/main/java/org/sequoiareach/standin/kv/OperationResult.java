package org.sequoiareach.standin.kv;

import java.util.List;
import java.util.Optional;

/** Represents the result of one operation of a transaction. */
sealed interface OperationResult {

  /** Holds the entries read; {@code count} includes entries beyond the limit. */
  record Range(List<KeyValue> entries, boolean more, long count) implements OperationResult {}

  /** Holds the replaced entry, if it was requested. */
  record Put(Optional<KeyValue> previous) implements OperationResult {}

  /** Holds the deleted entries; {@code previous} tells whether the response includes them. */
  record Delete(List<KeyValue> deleted, boolean previous) implements OperationResult {}
}
