package org.sequoiareach.store.prefix;

import java.util.List;
import org.sequoiareach.model.route.StorePosition;

/**
 * The changes of keys under a prefix since an earlier revision.
 *
 * @param changes the writes and removals, in the order of their revisions
 * @param revision the position, see {@link StorePosition}, from which to await further changes,
 *     exclusive
 */
public record PrefixChanges(List<PrefixEntry> changes, long revision) {

  /** Copies the list. */
  public PrefixChanges {
    changes = List.copyOf(changes);
  }
}
