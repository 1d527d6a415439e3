package org.sequoiareach.decision.reducer;

import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.placement.PendingAttempt;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.Verdict;

/**
 * Sends, resumes and cancels attempts.
 *
 * <p>An attempt at a generation goes through the daemon that owns its target: either a peer, to
 * which it is forwarded, or the admission controller of this daemon. Service calls need no
 * admission and are dispatched directly.
 */
final class AttemptSender {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final PeerMembership peers;
  private final AdmissionController admissionController;
  private final EffectCollector effects;

  AttemptSender(
      ReducerSettings settings,
      TargetRegistry targets,
      PeerMembership peers,
      AdmissionController admissionController,
      EffectCollector effects) {
    this.settings = settings;
    this.targets = targets;
    this.peers = peers;
    this.admissionController = admissionController;
    this.effects = effects;
  }

  /**
   * Returns the daemon to send through: the target's owner, or this daemon if it is unreachable.
   */
  String selectOwner(ActiveRequest request, String targetId) {
    String zone = targets.find(targetId).map(VmEntry::zone).orElse("");
    String ownerId = peers.ownerOf(targetId, zone);
    boolean reachable = peers.isReachable(ownerId) && !request.failedOwners.contains(ownerId);
    return reachable ? ownerId : settings.daemonId();
  }

  /** Sends the request's current attempt. */
  void send(long nowMs, ActiveRequest request) {
    if (!request.ownerId.equals(settings.daemonId())) {
      effects.add(
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
      admissionController.offerLocal(nowMs, attempt, request.targetId, request.sheetVersion);
      return;
    }
    Optional<VmEntry> target = targets.find(request.targetId);
    target.ifPresent(vm -> dispatchCall(nowMs, request, vm));
  }

  private void dispatchCall(long nowMs, ActiveRequest request, VmEntry target) {
    effects.add(
        new Effect.Dispatch(
            request.attemptId,
            request.spec.requestId(),
            target.id(),
            target.address(),
            0,
            nowMs + settings.sendWithinMs(),
            request.deadlineMs));
  }

  /**
   * Continues the same generation by reading directly from its target, without the owner. The
   * backoff doubles with each resume.
   */
  void resume(long nowMs, ActiveRequest request, Outcome outcome) {
    final long backoffMs = settings.resumeBackoffMs() << request.resumes;
    request.resumes++;
    request.ownerId = settings.daemonId();
    effects.logDecision(
        "resume", request.spec, request.targetId, request.sheetVersion, outcome.message());
    targets
        .find(request.targetId)
        .ifPresent(
            vm ->
                effects.add(
                    new Effect.Resume(
                        request.attemptId,
                        request.spec.requestId(),
                        vm.id(),
                        vm.address(),
                        nowMs + backoffMs,
                        request.deadlineMs)));
  }

  /** Cancels the request's current attempt; it may have run unless it was still queued here. */
  void cancel(long nowMs, ActiveRequest request) {
    boolean queued = admissionController.isQueued(request.attemptId);
    admissionController.remove(nowMs, request.attemptId);
    if (!queued) {
      request.verdict = request.verdict.and(Verdict.MAY_HAVE_RUN);
      effects.add(new Effect.CancelAttempt(request.attemptId));
    }
  }
}
