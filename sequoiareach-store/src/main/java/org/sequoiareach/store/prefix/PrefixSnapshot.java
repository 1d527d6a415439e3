package org.sequoiareach.store.prefix;

import java.util.List;

/**
 * Holds the keys under a prefix.
 *
 * @param entries the keys and their values
 * @param revision the revision after which changes are to be awaited
 */
public record PrefixSnapshot(List<PrefixEntry> entries, long revision) {

  /** Copies the parts. */
  public PrefixSnapshot {
    entries = List.copyOf(entries);
  }
}
