package org.sequoiareach.store.kv;

import java.util.List;

/**
 * Says how a transaction ended.
 *
 * @param applied whether the conditions held and the writes took effect
 * @param revision the revision of the service after the transaction
 * @param found where the conditions did not hold, the present entries of the conditions' keys
 */
public record TransactionResult(boolean applied, long revision, List<KeyValueEntry> found) {

  /** Copies the parts. */
  public TransactionResult {
    found = List.copyOf(found);
  }
}
