package org.sequoiareach.standin.kv;

/** Is one operation of a transaction. */
sealed interface Operation {

  /** Reads keys; a limit of 0 means all. */
  record Range(KeyRange range, long limit, boolean keysOnly, boolean countOnly)
      implements Operation {}

  /** Writes one key. */
  record Put(String key, String value, long lease, boolean previous) implements Operation {}

  /** Deletes keys. */
  record Delete(KeyRange range, boolean previous) implements Operation {}
}
