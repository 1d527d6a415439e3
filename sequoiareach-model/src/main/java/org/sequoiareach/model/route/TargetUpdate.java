package org.sequoiareach.model.route;

import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * The write or the removal of the entry of one target.
 *
 * @param revision the position, see {@link StorePosition}, of the write or removal
 * @param targetId the identity of the target
 * @param target the target; empty for a removal
 */
public record TargetUpdate(long revision, String targetId, Optional<RoutedTarget> target) {

  /** Validates the components. */
  public TargetUpdate {
    Check.inRange(revision, 0, Long.MAX_VALUE, "revision");
    Check.notNull(targetId, "targetId");
    Check.notNull(target, "target");
  }
}
