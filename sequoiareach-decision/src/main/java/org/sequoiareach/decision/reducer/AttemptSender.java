package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.placement.PendingAttempt;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.Verdict;

/**
 * Sends attempts on their way: to the owner of their target, to this daemon's own accounts, or
 * straight to a plain service; resumes and cancels them.
 */
final class AttemptSender {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final Peers peers;
  private final OwnerRole owner;
  private final EffectLog log;

  AttemptSender(
      ReducerSettings settings,
      TargetRegistry targets,
      Peers peers,
      OwnerRole owner,
      EffectLog log) {
    this.settings = settings;
    this.targets = targets;
    this.peers = peers;
    this.owner = owner;
    this.log = log;
  }

  /** Returns the owner to send through; this daemon where the owner is not to be had. */
  String ownerFor(ActiveRequest request, String targetId) {
    String zone = targets.find(targetId).map(VmEntry::zone).orElse("");
    String ownerId = peers.ownerOf(targetId, zone);
    boolean usable = peers.isReachable(ownerId) && !request.failedOwners.contains(ownerId);
    return usable ? ownerId : settings.daemonId();
  }

  /** Sends the attempt that the request holds. */
  void send(long nowMs, ActiveRequest request) {
    if (!request.ownerId.equals(settings.daemonId())) {
      log.add(
          new Effect.Forward(
              request.attemptId,
              request.ownerId,
              request.targetId,
              request.spec,
              request.priority,
              request.sheetVersion,
              request.deadlineMs));
      return;
    }
    PendingAttempt attempt =
        new PendingAttempt(request.attemptId, request.spec, request.priority, request.deadlineMs);
    if (request.spec.kind() == RequestKind.GENERATION) {
      owner.offerOwn(nowMs, attempt, request.targetId, request.sheetVersion);
      return;
    }
    Optional<VmEntry> target = targets.find(request.targetId);
    target.ifPresent(vm -> dispatchCall(nowMs, request, vm));
  }

  private void dispatchCall(long nowMs, ActiveRequest request, VmEntry target) {
    log.add(
        new Effect.Dispatch(
            request.attemptId,
            request.spec.requestId(),
            target.id(),
            target.address(),
            0,
            nowMs + settings.sendWithinMs(),
            request.deadlineMs));
  }

  /** Reads on from the same generation, directly from its target. */
  void resume(long nowMs, ActiveRequest request, Outcome outcome) {
    final long backoffMs = settings.resumeBackoffMs() << request.resumes;
    request.resumes++;
    request.ownerId = settings.daemonId();
    log.decision("resume", request.spec, request.targetId, request.sheetVersion, outcome.message());
    targets
        .find(request.targetId)
        .ifPresent(
            vm ->
                log.add(
                    new Effect.Resume(
                        request.attemptId,
                        request.spec.requestId(),
                        vm.id(),
                        vm.address(),
                        nowMs + backoffMs,
                        request.deadlineMs)));
  }

  /** Stops the attempt that the request holds; unless it was still queued here, it may have run. */
  void cancel(long nowMs, ActiveRequest request) {
    boolean queued = owner.isQueued(request.attemptId);
    owner.remove(nowMs, request.attemptId);
    if (!queued) {
      request.verdict = request.verdict.and(Verdict.MAY_HAVE_RUN);
      log.add(new Effect.CancelAttempt(request.attemptId));
    }
  }
}
