package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/**
 * Describes a target that may take a request.
 *
 * @param target the target
 * @param sameZone whether it is in this daemon's availability zone
 * @param use its use by all daemons, as far as it is known
 * @param engine what is known of engines of its service; empty for a plain service
 */
record Candidate(
    RoutedTarget target, boolean sameZone, TargetUse use, Optional<EngineTraits> engine) {}
