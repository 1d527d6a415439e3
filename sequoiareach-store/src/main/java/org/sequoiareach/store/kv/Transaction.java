package org.sequoiareach.store.kv;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * An atomic, conditional write of several keys.
 *
 * @param conditions the conditions, all of which must hold
 * @param puts the values to write
 * @param deletes the keys to delete
 */
public record Transaction(List<Condition> conditions, List<Put> puts, List<String> deletes) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    puts = List.copyOf(puts);
    deletes = List.copyOf(deletes);
  }

  /**
   * A condition that a key was last written at a given revision.
   *
   * @param key the key
   * @param modRevision the revision; 0 requires that the key does not exist
   */
  public record Condition(String key, long modRevision) {

    /** Validates the components. */
    public Condition {
      Check.hasText(key, "key");
    }
  }

  /**
   * The write of one value.
   *
   * @param key the key
   * @param value the value, encoded as UTF-8
   * @param leaseId the id of the lease to bind the key to; 0 for none
   */
  public record Put(String key, String value, long leaseId) {

    /** Validates the components. */
    public Put {
      Check.hasText(key, "key");
      Check.notNull(value, "value");
    }
  }
}
