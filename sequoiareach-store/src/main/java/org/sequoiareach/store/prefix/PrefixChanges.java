package org.sequoiareach.store.prefix;

import java.util.List;

/**
 * Holds changes of keys under a prefix.
 *
 * @param changes writes and removals in order
 * @param revision the revision after which the next changes are to be awaited
 */
public record PrefixChanges(List<PrefixEntry> changes, long revision) {

  /** Copies the parts. */
  public PrefixChanges {
    changes = List.copyOf(changes);
  }
}
