package org.sequoiareach.store.prefix;

import java.util.List;
import org.sequoiareach.model.route.StorePosition;

/**
 * All keys under a prefix, as read by one call.
 *
 * @param entries the keys and their values
 * @param revision the position, see {@link StorePosition}, from which to await further changes,
 *     exclusive
 */
public record PrefixSnapshot(List<PrefixEntry> entries, long revision) {

  /** Copies the list. */
  public PrefixSnapshot {
    entries = List.copyOf(entries);
  }
}
