package org.sequoiareach.decision.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * A call that waits for a permit to be sent to a target with a rate limit. Immutable.
 *
 * @param call the call
 * @param target the target
 * @param why why the call is placed, for the decision log
 * @param failure the failure of the attempt before; empty for the first attempt
 * @param answerByMs when the owner of the target must have decided, in milliseconds
 * @param startAtMs when the call may be sent, in milliseconds; empty if that is not decided yet
 */
record PermitWait(
    ActiveCall call,
    RoutedTarget target,
    String why,
    Optional<DispatchEvent.AttemptFailed> failure,
    long answerByMs,
    OptionalLong startAtMs) {

  PermitWait startingAt(long atMs) {
    return new PermitWait(call, target, why, failure, answerByMs, OptionalLong.of(atMs));
  }

  boolean isOverdue(long nowMs) {
    return startAtMs.isEmpty() && nowMs >= answerByMs;
  }

  boolean isDue(long nowMs) {
    return startAtMs.isPresent() && nowMs >= startAtMs.getAsLong();
  }
}
