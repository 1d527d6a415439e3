package org.sequoiareach.store.kv;

import org.sequoiareach.model.Check;

/**
 * One key of the key-value service and its value, as read.
 *
 * @param key the key
 * @param value the value, decoded as UTF-8
 * @param createRevision the revision at which the key was created
 * @param modRevision the revision at which the value was last written
 * @param leaseId the id of the lease that the key is bound to; 0 for none
 */
public record KeyValueEntry(
    String key, String value, long createRevision, long modRevision, long leaseId) {

  /** Validates the components. */
  public KeyValueEntry {
    Check.hasText(key, "key");
    Check.notNull(value, "value");
  }
}
