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
 * Plays the daemon's role as owner of targets: it keeps their accounts and says which attempts
 * start, wait or are refused.
 */
final class OwnerRole {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final AdmissionFactory factory;
  private final EffectLog log;
  private final Map<String, AdmissionStrategy> books = new HashMap<>();
  private final Map<String, OwnedAttempt> attempts = new LinkedHashMap<>();
  private RejectionListener rejections = (nowMs, attemptId, outcome) -> {};

  OwnerRole(
      ReducerSettings settings, TargetRegistry targets, AdmissionFactory factory, EffectLog log) {
    this.settings = settings;
    this.targets = targets;
    this.factory = factory;
    this.log = log;
  }

  /** Is told of attempts of this daemon's own requests that the owner role refused. */
  interface RejectionListener {
    void rejected(long nowMs, String attemptId, Outcome outcome);
  }

  void setRejectionListener(RejectionListener listener) {
    this.rejections = listener;
  }

  /** Takes an attempt that another daemon forwarded here. */
  void forwarded(RequestEvent.AttemptForwarded event, boolean ready) {
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
      reject(event.nowMs(), owned, Reason.NOT_READY, "the owner is leaving", 0);
      return;
    }
    offer(event.nowMs(), owned);
  }

  /** Takes an attempt of one of this daemon's own requests. */
  void offerOwn(long nowMs, PendingAttempt attempt, String targetId, long sheetVersion) {
    offer(nowMs, new OwnedAttempt(attempt, targetId, Optional.empty(), sheetVersion));
  }

  void progressed(RequestEvent.AttemptProgressed event) {
    OwnedAttempt owned = attempts.get(event.attemptId());
    if (owned == null) {
      return;
    }
    book(owned.targetId).recordProgress(event.nowMs(), event.attemptId(), event.tokens());
  }

  /** Forgets an attempt that is over and starts what now fits. */
  void ended(long nowMs, String attemptId, Outcome outcome) {
    OwnedAttempt owned = attempts.remove(attemptId);
    if (owned == null) {
      return;
    }
    int tokens = outcome.succeeded() ? outcome.tokens() : -1;
    book(owned.targetId).remove(nowMs, attemptId, tokens);
    review(nowMs, owned.targetId);
  }

  /** Stops an attempt that the daemon which forwarded it no longer wants. */
  void forwardedCancelled(RequestEvent.ForwardedAttemptCancelled event) {
    String attemptId = event.attemptId();
    OwnedAttempt owned = attempts.get(attemptId);
    if (owned == null) {
      return;
    }
    if (owned.running && event.keepGeneration()) {
      log.add(new Effect.ReleaseAttempt(attemptId));
    } else if (owned.running) {
      log.add(new Effect.CancelAttempt(attemptId));
    }
    remove(event.nowMs(), attemptId);
  }

  /** Forgets an attempt without learning from it. */
  void remove(long nowMs, String attemptId) {
    OwnedAttempt owned = attempts.remove(attemptId);
    if (owned == null) {
      return;
    }
    book(owned.targetId).remove(nowMs, attemptId, -1);
    review(nowMs, owned.targetId);
  }

  boolean isQueued(String attemptId) {
    OwnedAttempt owned = attempts.get(attemptId);
    return owned != null && !owned.running;
  }

  void reported(long nowMs, String targetId, EngineLoad load) {
    book(targetId).recordLoad(nowMs, load);
    review(nowMs, targetId);
  }

  /** Gives back what waits for a target that gets no more work. */
  void withdraw(long nowMs, String targetId, String why) {
    AdmissionStrategy book = books.get(targetId);
    if (book == null) {
      return;
    }
    for (PendingAttempt pending : book.withdrawQueue(nowMs)) {
      OwnedAttempt owned = attempts.remove(pending.attemptId());
      if (owned != null) {
        reject(nowMs, owned, Reason.NO_TARGET, why, 0);
      }
    }
  }

  void reviewAll(long nowMs) {
    for (String targetId : List.copyOf(books.keySet())) {
      review(nowMs, targetId);
    }
  }

  /** Drops the accounts of targets that are neither listed nor in use. */
  void forgetUnlisted() {
    books
        .keySet()
        .removeIf(
            id ->
                targets.find(id).isEmpty()
                    && attempts.values().stream().noneMatch(owned -> owned.targetId.equals(id)));
  }

  Optional<LoadHint> findHint(long nowMs, String targetId) {
    return Optional.ofNullable(books.get(targetId)).map(book -> book.hint(nowMs));
  }

  int attemptsInProgress() {
    return attempts.size();
  }

  private void offer(long nowMs, OwnedAttempt owned) {
    if (!targets.isPlaceable(owned.targetId)) {
      reject(nowMs, owned, Reason.NO_TARGET, "target " + owned.targetId + " takes no work", 0);
      return;
    }
    attempts.put(owned.pending.attemptId(), owned);
    carryOut(nowMs, owned, book(owned.targetId).offer(nowMs, owned.pending));
  }

  private void review(long nowMs, String targetId) {
    if (!targets.isKnown()) {
      return;
    }
    if (!targets.isPlaceable(targetId)) {
      withdraw(nowMs, targetId, "target " + targetId + " takes no more work");
      return;
    }
    List<AdmissionDecision> decided = new ArrayList<>(book(targetId).processQueue(nowMs));
    for (AdmissionDecision admission : decided) {
      OwnedAttempt owned = attempts.get(admission.attempt().attemptId());
      if (owned != null) {
        carryOut(nowMs, owned, admission);
      }
    }
  }

  private void carryOut(long nowMs, OwnedAttempt owned, AdmissionDecision admission) {
    String name = "place-" + admission.action().name().toLowerCase(java.util.Locale.ROOT);
    log.decision(
        name, owned.pending.spec(), owned.targetId, owned.sheetVersion, admission.reason());
    switch (admission.action()) {
      case START -> start(nowMs, owned, admission.enginePriority());
      case REFUSE -> {
        attempts.remove(owned.pending.attemptId());
        reject(nowMs, owned, Reason.NO_CAPACITY, admission.reason(), admission.retryAfterMs());
      }
      default -> {
        // It waits in the accounts of its target.
      }
    }
  }

  private void start(long nowMs, OwnedAttempt owned, int enginePriority) {
    Optional<VmEntry> target = targets.find(owned.targetId);
    if (target.isEmpty()) {
      return;
    }
    owned.running = true;
    log.add(
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
      log.add(
          new Effect.RejectForwarded(
              attemptId, owned.fromDaemon.get(), reason, message, retryAfterMs));
      return;
    }
    Outcome outcome = new Outcome(Verdict.NOT_RUN, Optional.of(reason), message, 0, retryAfterMs);
    rejections.rejected(nowMs, attemptId, outcome);
  }

  private AdmissionStrategy book(String targetId) {
    return books.computeIfAbsent(targetId, factory::create);
  }

  /** Holds an attempt that this daemon places, from its offer to its end. */
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
