package org.sequoiareach.standin.kv;

/** Represents one operation of a transaction. */
sealed interface Operation {

  /** Reads the keys of a range; a limit of 0 means no limit. */
  record Range(KeyRange range, long limit, boolean keysOnly, boolean countOnly)
      implements Operation {}

  /** Writes one key; {@code previous} requests the replaced entry. */
  record Put(String key, String value, long lease, boolean previous) implements Operation {}

  /** Deletes the keys of a range; {@code previous} requests the deleted entries. */
  record Delete(KeyRange range, boolean previous) implements Operation {}
}
