package org.sequoiareach.decision.reducer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.placement.AdmissionDecision;
import org.sequoiareach.decision.placement.AdmissionFactory;
import org.sequoiareach.decision.placement.AdmissionStrategy;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.decision.placement.PendingAttempt;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;

/**
 * Admission control for the targets that this daemon owns.
 *
 * <p>Keeps an {@link AdmissionStrategy} per target, which decides whether an attempt starts, is
 * queued or is refused. Attempts come from requests of this daemon's callers or are forwarded by
 * other daemons.
 */
final class AdmissionController {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final AdmissionFactory admissionFactory;
  private final EffectCollector effects;
  private final Map<String, AdmissionStrategy> strategies = new HashMap<>();
  private final Map<String, OwnedAttempt> attempts = new LinkedHashMap<>();
  private RejectionListener rejectionListener = (nowMs, attemptId, outcome) -> {};

  AdmissionController(
      ReducerSettings settings,
      TargetRegistry targets,
      AdmissionFactory admissionFactory,
      EffectCollector effects) {
    this.settings = settings;
    this.targets = targets;
    this.admissionFactory = admissionFactory;
    this.effects = effects;
  }

  /** Callback for rejected attempts at requests of this daemon's own callers. */
  interface RejectionListener {
    void onRejected(long nowMs, String attemptId, Outcome outcome);
  }

  void setRejectionListener(RejectionListener listener) {
    this.rejectionListener = listener;
  }

  /** Offers an attempt that another daemon forwarded; repeated deliveries are ignored. */
  void handleForwarded(RequestEvent.AttemptForwarded event, boolean ready) {
    OwnedAttempt owned =
        new OwnedAttempt(
            new PendingAttempt(
                event.attemptId(), event.spec(), event.priority(), event.deadlineMs()),
            event.targetId(),
            Optional.of(event.fromDaemon()),
            event.sheetVersion());
    if (attempts.containsKey(event.attemptId())) {
      return;
    }
    if (!ready) {
      reject(
          event.nowMs(),
          owned,
          Reason.NOT_READY,
          "the owner of the target is draining or has no current VM list",
          0);
      return;
    }
    offer(event.nowMs(), owned);
  }

  /** Offers an attempt at a request of one of this daemon's own callers. */
  void offerLocal(long nowMs, PendingAttempt attempt, String targetId, long sheetVersion) {
    offer(nowMs, new OwnedAttempt(attempt, targetId, Optional.empty(), sheetVersion));
  }

  void handleProgress(RequestEvent.AttemptProgressed event) {
    OwnedAttempt owned = attempts.get(event.attemptId());
    if (owned == null) {
      return;
    }
    strategy(owned.targetId).recordProgress(event.nowMs(), event.attemptId(), event.tokens());
  }

  /** Removes an ended attempt and starts queued attempts that now fit. */
  void handleEnded(long nowMs, String attemptId, Outcome outcome) {
    OwnedAttempt owned = attempts.remove(attemptId);
    if (owned == null) {
      return;
    }
    int tokens = outcome.succeeded() ? outcome.tokens() : -1;
    strategy(owned.targetId).remove(nowMs, attemptId, tokens);
    admitQueued(nowMs, owned.targetId);
  }

  /**
   * Removes an attempt that the forwarding daemon no longer reads. A running generation is
   * cancelled or, if the event says so, continues without a reader.
   */
  void handleForwardedCancellation(RequestEvent.ForwardedAttemptCancelled event) {
    String attemptId = event.attemptId();
    OwnedAttempt owned = attempts.get(attemptId);
    if (owned == null) {
      return;
    }
    if (owned.running && event.keepGeneration()) {
      effects.add(new Effect.ReleaseAttempt(attemptId));
    } else if (owned.running) {
      effects.add(new Effect.CancelAttempt(attemptId));
    }
    remove(event.nowMs(), attemptId);
  }

  /** Removes an attempt without recording an answer length for later estimates. */
  void remove(long nowMs, String attemptId) {
    OwnedAttempt owned = attempts.remove(attemptId);
    if (owned == null) {
      return;
    }
    strategy(owned.targetId).remove(nowMs, attemptId, -1);
    admitQueued(nowMs, owned.targetId);
  }

  boolean isQueued(String attemptId) {
    OwnedAttempt owned = attempts.get(attemptId);
    return owned != null && !owned.running;
  }

  void handleLoadReport(long nowMs, String targetId, EngineLoad load) {
    strategy(targetId).recordLoad(nowMs, load);
    admitQueued(nowMs, targetId);
  }

  /** Rejects the queued attempts of a target that no longer accepts work. */
  void rejectQueued(long nowMs, String targetId, String message) {
    AdmissionStrategy strategy = strategies.get(targetId);
    if (strategy == null) {
      return;
    }
    for (PendingAttempt pending : strategy.withdrawQueue(nowMs)) {
      OwnedAttempt owned = attempts.remove(pending.attemptId());
      if (owned != null) {
        reject(nowMs, owned, Reason.NO_TARGET, message, 0);
      }
    }
  }

  void admitAllQueued(long nowMs) {
    for (String targetId : List.copyOf(strategies.keySet())) {
      admitQueued(nowMs, targetId);
    }
  }

  /** Removes the strategies of targets that are neither listed nor in use. */
  void removeUnlisted() {
    strategies
        .keySet()
        .removeIf(
            id ->
                targets.find(id).isEmpty()
                    && attempts.values().stream().noneMatch(owned -> owned.targetId.equals(id)));
  }

  Optional<LoadHint> findHint(long nowMs, String targetId) {
    return Optional.ofNullable(strategies.get(targetId)).map(strategy -> strategy.hint(nowMs));
  }

  int attemptsInProgress() {
    return attempts.size();
  }

  private void offer(long nowMs, OwnedAttempt owned) {
    if (!targets.isPlaceable(owned.targetId)) {
      reject(
          nowMs,
          owned,
          Reason.NO_TARGET,
          "target " + owned.targetId + " is leaving or not listed",
          0);
      return;
    }
    attempts.put(owned.pending.attemptId(), owned);
    perform(nowMs, owned, strategy(owned.targetId).offer(nowMs, owned.pending));
  }

  private void admitQueued(long nowMs, String targetId) {
    if (!targets.isFresh()) {
      return;
    }
    if (!targets.isPlaceable(targetId)) {
      rejectQueued(nowMs, targetId, "target " + targetId + " is leaving or not listed");
      return;
    }
    List<AdmissionDecision> admissions = new ArrayList<>(strategy(targetId).processQueue(nowMs));
    for (AdmissionDecision admission : admissions) {
      OwnedAttempt owned = attempts.get(admission.attempt().attemptId());
      if (owned != null) {
        perform(nowMs, owned, admission);
      }
    }
  }

  private void perform(long nowMs, OwnedAttempt owned, AdmissionDecision admission) {
    String name = "place-" + admission.action().name().toLowerCase(java.util.Locale.ROOT);
    effects.logDecision(
        name, owned.pending.spec(), owned.targetId, owned.sheetVersion, admission.reason());
    switch (admission.action()) {
      case START -> start(nowMs, owned, admission.enginePriority());
      case REFUSE -> {
        attempts.remove(owned.pending.attemptId());
        reject(nowMs, owned, Reason.NO_CAPACITY, admission.reason(), admission.retryAfterMs());
      }
      default -> {
        // The attempt stays in the queue of its target.
      }
    }
  }

  private void start(long nowMs, OwnedAttempt owned, int enginePriority) {
    Optional<VmEntry> target = targets.find(owned.targetId);
    if (target.isEmpty()) {
      return;
    }
    owned.running = true;
    effects.add(
        new Effect.Dispatch(
            owned.pending.attemptId(),
            owned.pending.spec().requestId(),
            owned.targetId,
            target.get().address(),
            enginePriority,
            nowMs + settings.sendWithinMs(),
            owned.pending.deadlineMs()));
  }

  private void reject(
      long nowMs, OwnedAttempt owned, Reason reason, String message, long retryAfterMs) {
    String attemptId = owned.pending.attemptId();
    if (owned.fromDaemon.isPresent()) {
      effects.add(
          new Effect.RejectForwarded(
              attemptId, owned.fromDaemon.get(), reason, message, retryAfterMs));
      return;
    }
    Outcome outcome = new Outcome(Verdict.NOT_RUN, Optional.of(reason), message, 0, retryAfterMs);
    rejectionListener.onRejected(nowMs, attemptId, outcome);
  }

  private AdmissionStrategy strategy(String targetId) {
    return strategies.computeIfAbsent(targetId, admissionFactory::create);
  }

  /** Attempt under this daemon's admission control, from its offer to its end. */
  private static final class OwnedAttempt {

    private final PendingAttempt pending;
    private final String targetId;
    private final Optional<String> fromDaemon;
    private final long sheetVersion;
    private boolean running;

    private OwnedAttempt(
        PendingAttempt pending, String targetId, Optional<String> fromDaemon, long sheetVersion) {
      this.pending = pending;
      this.targetId = targetId;
      this.fromDaemon = fromDaemon;
      this.sheetVersion = sheetVersion;
    }
  }
}
