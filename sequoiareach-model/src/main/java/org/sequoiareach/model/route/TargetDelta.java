package org.sequoiareach.model.route;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * All changes of targets between two positions of the store.
 *
 * @param afterRevision the position, exclusive, after which the changes are complete
 * @param updates the changes in the order of their positions; not empty
 */
public record TargetDelta(long afterRevision, List<TargetUpdate> updates) {

  /** Validates the components and copies the list. */
  public TargetDelta {
    Check.inRange(afterRevision, 0, Long.MAX_VALUE, "afterRevision");
    updates = List.copyOf(updates);
    Check.isTrue(!updates.isEmpty(), "A delta without updates.");
  }

  /**
   * Returns the position up to which the changes are complete.
   *
   * @return the position of the last change
   */
  public long revision() {
    return updates.get(updates.size() - 1).revision();
  }
}
