package org.sequoiareach.store.kv;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Describes a conditional write of several keys.
 *
 * @param conditions the conditions, all of which must hold
 * @param puts the values to write
 * @param deletes the keys to delete
 */
public record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {

  /** Copies the parts. */
  public Transaction {
    conditions = List.copyOf(conditions);
    puts = List.copyOf(puts);
    deletes = List.copyOf(deletes);
  }

  /**
   * Requires that a key was last written at a revision.
   *
   * @param key the key
   * @param modRevision the revision; 0 requires that there is no such key
   */
  public record Condition(String key, long modRevision) {

    /** Checks the parts. */
    public Condition {
      Check.hasText(key, "key");
    }
  }

  /**
   * Writes one value.
   *
   * @param key the key
   * @param value the value, as text
   * @param leaseId the lease to bind the key to; 0 for none
   */
  public record Put(String key, String value, long leaseId) {

    /** Checks the parts. */
    public Put {
      Check.hasText(key, "key");
      Check.notNull(value, "value");
    }
  }
}
