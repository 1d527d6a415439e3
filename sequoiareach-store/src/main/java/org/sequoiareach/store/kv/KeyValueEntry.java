package org.sequoiareach.store.kv;

import org.sequoiareach.model.Check;

/**
 * Holds one key of the key-value service as it was read.
 *
 * @param key the key
 * @param value the value, as text
 * @param createRevision the revision at which the key was created
 * @param modRevision the revision at which the value was last written
 * @param leaseId the lease the key is bound to; 0 for none
 */
public record KeyValueEntry(
    String key, String value, long createRevision, long modRevision, long leaseId) {

  /** Checks the parts. */
  public KeyValueEntry {
    Check.hasText(key, "key");
    Check.notNull(value, "value");
  }
}
