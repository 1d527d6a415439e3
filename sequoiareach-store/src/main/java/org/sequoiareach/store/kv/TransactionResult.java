package org.sequoiareach.store.kv;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param applied whether the conditions held and the writes took effect
 * @param revision the revision of the key-value service after the transaction
 * @param found the current entries of the keys with conditions if a condition did not hold, else
 *     empty
 */
public record TransactionResult(boolean applied, long revision, List<KeyValueEntry> found) {

  /** Copies the list. */
  public TransactionResult {
    found = List.copyOf(found);
  }
}
