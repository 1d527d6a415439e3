package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.decision.speed.EngineSlowness;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/**
 * A target that is considered for placing a call.
 *
 * @param target the target
 * @param sameZone whether the target is in this daemon's availability zone
 * @param use the use of the target by all daemons, as far as known
 * @param engine the traits of the service's engines; empty for a plain service
 * @param slowness how slow the engine was seen to be; empty if it was not observed
 */
record Candidate(
    RoutedTarget target,
    boolean sameZone,
    TargetUse use,
    Optional<EngineTraits> engine,
    Optional<EngineSlowness> slowness) {

  /** Creates a candidate whose speed was not observed. */
  Candidate(RoutedTarget target, boolean sameZone, TargetUse use, Optional<EngineTraits> engine) {
    this(target, sameZone, use, engine, Optional.empty());
  }

  /** Returns whether the engine is known to be slower than the others of its service. */
  boolean isSlow() {
    return slowness.filter(EngineSlowness::isSlow).isPresent();
  }
}
