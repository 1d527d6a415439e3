package org.sequoiareach.decision.reducer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sequoiareach.decision.budget.TokenAmount;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.ClaimResult;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.routing.RouteChoice;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Coordinates the requests that callers send to this daemon.
 *
 * <p>Checks permissions and limits, claims idempotency keys, reserves tokens of the daily plan,
 * routes, retries and resumes attempts, and gives each request exactly one final answer.
 */
final class RequestCoordinator {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final PeerMembership peers;
  private final TargetSelector selector;
  private final AdmissionController admissionController;
  private final AttemptSender sender;
  private final BudgetManager budgetManager;
  private final EffectCollector effects;
  private final OrganisationLimiter limiter = new OrganisationLimiter();
  private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();
  private final Map<String, ActiveRequest> requestsByAttempt = new HashMap<>();
  private final Map<String, RequestSpec> abandonedClaims = new HashMap<>();
  private final Set<ActiveRequest> awaitingTargets = new LinkedHashSet<>();

  RequestCoordinator(
      ReducerSettings settings,
      TargetRegistry targets,
      PeerMembership peers,
      TargetSelector selector,
      AdmissionController admissionController,
      BudgetManager budgetManager,
      EffectCollector effects) {
    this.settings = settings;
    this.targets = targets;
    this.peers = peers;
    this.selector = selector;
    this.admissionController = admissionController;
    this.sender = new AttemptSender(settings, targets, peers, admissionController, effects);
    this.budgetManager = budgetManager;
    this.effects = effects;
  }

  /** Admits a request or refuses it immediately. */
  void handleArrival(RequestEvent.RequestArrived event, Sheet sheet) {
    RequestSpec spec = event.spec();
    Optional<OrganisationEntry> organisation = sheet.findOrganisation(spec.organisation());
    if (organisation.isEmpty() || !isAllowed(organisation.get(), spec)) {
      String message =
          "organisation " + spec.organisation() + " is not allowed to use " + spec.resource();
      refuse(spec, sheet.version(), Reason.NOT_ALLOWED, message, 0);
      return;
    }
    if (lacksRequiredKey(spec)) {
      String message = "the call is not repeatable and requires an Idempotency-Key header";
      refuse(spec, sheet.version(), Reason.IDEMPOTENCY_KEY_REQUIRED, message, 0);
      return;
    }
    String limitViolation =
        limiter.admit(
            event.nowMs(), spec.organisation(), organisation.get().limits(), peers.liveDaemons());
    if (!limitViolation.isEmpty()) {
      long retryAfterMs = settings.retryAfterMs();
      refuse(spec, sheet.version(), Reason.ORGANISATION_LIMIT, limitViolation, retryAfterMs);
      return;
    }
    int priority = organisation.get().priority();
    ActiveRequest request = new ActiveRequest(spec, priority, sheet.version(), event.deadlineMs());
    requests.put(spec.requestId(), request);
    process(event.nowMs(), request);
  }

  /** Refuses a request that has not been admitted; nothing is held for it yet. */
  void refuse(
      RequestSpec spec, long sheetVersion, Reason reason, String message, long retryAfterMs) {
    effects.logDecision("refuse", spec, "", sheetVersion, reason.label() + ": " + message);
    effects.failRequest(spec, Verdict.NOT_RUN, reason, message, retryAfterMs);
  }

  void handleClaimAnswer(RequestEvent.ClaimAnswered event) {
    ActiveRequest request = requests.get(event.requestId());
    if (request == null || request.stage != ActiveRequest.Stage.CLAIMING) {
      releaseLateClaim(event);
      return;
    }
    request.stage = ActiveRequest.Stage.ATTEMPTING;
    switch (event.result()) {
      case CLAIMED -> {
        request.claimed = true;
        route(event.nowMs(), request);
      }
      case UNAVAILABLE ->
          finish(
              request,
              Verdict.NOT_RUN,
              Reason.CLAIMS_UNAVAILABLE,
              "the idempotency key could not be claimed: no answer from the key-value service",
              settings.retryAfterMs());
      default -> {
        String message = "an earlier call holds the idempotency key and has no known outcome yet";
        if (event.result() == ClaimResult.FINISHED_BY_OTHER) {
          message = "the idempotency key belongs to a call that has finished";
        }
        finish(request, Verdict.MAY_HAVE_RUN, Reason.IDEMPOTENCY_KEY_CLAIMED, message, 0);
      }
    }
  }

  void handleCancellation(long nowMs, String requestId) {
    ActiveRequest request = requests.get(requestId);
    if (request == null) {
      return;
    }
    stopAttempt(nowMs, request);
    String message = "the caller has cancelled the request";
    finish(request, request.verdict, Reason.CANCELLED, message, 0);
  }

  /** Releases a request whose caller may resume the generation through any daemon. */
  void handleCallerDetached(long nowMs, String requestId) {
    ActiveRequest request = requests.get(requestId);
    if (request == null) {
      return;
    }
    effects.logDecision(
        "detach",
        request.spec,
        request.targetId,
        request.sheetVersion,
        "the connection to the caller was lost");
    admissionController.remove(nowMs, request.attemptId);
    effects.add(new Effect.ReleaseAttempt(request.attemptId));
    // The generation continues unobserved, so it is charged the full reservation.
    RequestSpec spec = request.spec;
    budgetManager.settle(spec, new TokenAmount(spec.promptTokens(), spec.maxTokens()));
    remove(request);
  }

  void handleAttemptStarted(RequestEvent.AttemptStarted event) {
    ActiveRequest request = requestsByAttempt.get(event.attemptId());
    if (request == null) {
      return;
    }
    request.started = true;
  }

  /**
   * Handles the end of an attempt. Returns true if the generation is resumed, in which case the
   * attempt continues.
   */
  boolean handleAttemptEnded(long nowMs, String attemptId, Outcome reported) {
    ActiveRequest request = requestsByAttempt.get(attemptId);
    if (request == null) {
      return false;
    }
    Outcome outcome = request.started ? reported.ofStartedAttempt() : reported;
    selector.recordOutcome(nowMs, request, outcome);
    if (outcome.succeeded()) {
      request.attemptTokens = outcome.tokens();
      succeed(request);
      return false;
    }
    request.verdict = request.verdict.and(outcome.verdict());
    request.retryAfterMs = Math.max(request.retryAfterMs, outcome.retryAfterMs());
    if (canResume(nowMs, request, outcome)) {
      sender.resume(nowMs, request, outcome);
      return true;
    }
    endAttempt(request);
    retryOrFinish(nowMs, request, outcome);
    return false;
  }

  /** Routes the requests that waited for a fresh VM list. */
  void routeWaiting(long nowMs) {
    List<ActiveRequest> waiting = List.copyOf(awaitingTargets);
    awaitingTargets.clear();
    waiting.forEach(request -> route(nowMs, request));
  }

  /** Retries the token reservations of the waiting requests of some organisations. */
  void retryReservations(long nowMs, Predicate<String> organisations) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      boolean waits = request.stage == ActiveRequest.Stage.AWAITING_BUDGET;
      if (waits && organisations.test(request.spec.organisation())) {
        reserveBudget(nowMs, request);
      }
    }
  }

  void handleAttemptProgress(RequestEvent.AttemptProgressed event) {
    ActiveRequest request = requestsByAttempt.get(event.attemptId());
    if (request != null) {
      request.attemptTokens = event.tokens();
      request.resumes = 0;
    }
  }

  /** Ends every attempt that was sent through a lost daemon. */
  void handleDaemonLost(long nowMs, String daemonId) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      if (!request.ownerId.equals(daemonId) || request.attemptId.isEmpty()) {
        continue;
      }
      effects.add(new Effect.CancelAttempt(request.attemptId));
      String message =
          "daemon " + daemonId + ", the owner of target " + request.targetId + ", was lost";
      Outcome outcome = Outcome.failed(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, message);
      handleAttemptEnded(nowMs, request.attemptId, outcome);
    }
  }

  /** Fails every request whose deadline has passed or that waited too long for its budget. */
  void failExpired(long nowMs) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      boolean budgetTimedOut =
          request.stage == ActiveRequest.Stage.AWAITING_BUDGET && nowMs >= request.budgetDeadlineMs;
      if (budgetTimedOut) {
        String message =
            "no tokens of the daily plan were granted within " + settings.budgetWaitMs() + " ms";
        long retryAfterMs = settings.retryAfterMs();
        finish(request, Verdict.NOT_RUN, Reason.BUDGET_UNAVAILABLE, message, retryAfterMs);
      } else if (nowMs >= request.deadlineMs) {
        stopAttempt(nowMs, request);
        String message = "the request's deadline has passed";
        finish(request, request.verdict, Reason.DEADLINE, message, settings.retryAfterMs());
      }
    }
  }

  /** Fails every request because the daemon has reached its drain deadline. */
  void failAll(long nowMs) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      stopAttempt(nowMs, request);
      String message = "the daemon has stopped";
      finish(request, request.verdict, Reason.NOT_READY, message, settings.retryAfterMs());
    }
  }

  int requestsInProgress() {
    return requests.size();
  }

  private void process(long nowMs, ActiveRequest request) {
    if (request.spec.kind() == RequestKind.GENERATION) {
      request.budgetDeadlineMs = nowMs + settings.budgetWaitMs();
      reserveBudget(nowMs, request);
      return;
    }
    if (request.spec.repeatable()) {
      route(nowMs, request);
      return;
    }
    request.stage = ActiveRequest.Stage.CLAIMING;
    RequestSpec spec = request.spec;
    effects.add(
        new Effect.Claim(
            spec.requestId(),
            spec.organisation(),
            spec.resource(),
            spec.idempotencyKey(),
            request.deadlineMs));
  }

  /** Reserves the tokens of a request in its organisation's daily plan, then routes it. */
  private void reserveBudget(long nowMs, ActiveRequest request) {
    request.stage = ActiveRequest.Stage.AWAITING_BUDGET;
    switch (budgetManager.reserve(nowMs, request.spec)) {
      case RESERVED -> {
        request.stage = ActiveRequest.Stage.ATTEMPTING;
        route(nowMs, request);
      }
      case SPENT -> {
        String message =
            "daily plan of organisation %s has fewer than %d prompt or %d completion tokens left"
                .formatted(
                    request.spec.organisation(),
                    request.spec.promptTokens(),
                    request.spec.maxTokens());
        long retryAfterMs = budgetManager.untilNextDayMs(nowMs);
        finish(request, Verdict.NOT_RUN, Reason.BUDGET_SPENT, message, retryAfterMs);
      }
      default -> {
        // The request waits until the ledger grants another portion.
      }
    }
  }

  private void route(long nowMs, ActiveRequest request) {
    if (!targets.isFresh()) {
      awaitingTargets.add(request);
      return;
    }
    RequestSpec spec = request.spec;
    Optional<RouteChoice> choice = selector.choose(nowMs, request);
    if (choice.isEmpty()) {
      Reason reason = request.attempts == 0 ? Reason.NO_TARGET : Reason.NO_CAPACITY;
      String message = "no available target for " + spec.resource();
      finish(request, request.verdict, reason, message, retryAfterMs(request));
      return;
    }
    String targetId = choice.get().targetId();
    request.attemptId = request.nextAttemptId();
    request.targetId = targetId;
    request.triedTargets.add(targetId);
    requestsByAttempt.put(request.attemptId, request);
    selector.attemptStarted(targetId);
    boolean generation = spec.kind() == RequestKind.GENERATION;
    request.ownerId = generation ? sender.selectOwner(request, targetId) : settings.daemonId();
    String reason = choice.get().reason() + " owner=" + request.ownerId;
    effects.logDecision(
        "route", spec, targetId, request.sheetVersion, reason, choice.get().losers());
    sender.send(nowMs, request);
  }

  private void retryOrFinish(long nowMs, ActiveRequest request, Outcome outcome) {
    boolean notRun = outcome.verdict() == Verdict.NOT_RUN;
    boolean undelivered = !request.started || isCollected(request.spec);
    boolean allowed = notRun || (request.spec.repeatable() && undelivered);
    boolean retryable = outcome.reason().filter(RequestCoordinator::isRequestFault).isEmpty();
    boolean attemptsLeft = request.attempts < settings.maxAttempts();
    if (isOwnerFailure(outcome)) {
      // The owner failed, not the target, so the target may be retried through another daemon.
      request.failedOwners.add(request.ownerId);
      request.triedTargets.remove(request.targetId);
    }
    if (allowed && retryable && attemptsLeft && nowMs < request.deadlineMs) {
      effects.logDecision(
          "retry",
          request.spec,
          request.targetId,
          request.sheetVersion,
          outcome.message() + " verdict=" + outcome.verdict().label());
      request.started = false;
      route(nowMs, request);
      return;
    }
    Reason reason = outcome.reason().orElse(Reason.INTERNAL);
    String message = outcome.message();
    if (reason == Reason.NOT_FOUND) {
      // The engine lost the generation; not-found would wrongly blame the caller's request.
      reason = Reason.TARGET_FAILED;
      message = "target " + request.targetId + " no longer has the generation";
    }
    finish(request, request.verdict, reason, message, retryAfterMs(request));
  }

  private boolean canResume(long nowMs, ActiveRequest request, Outcome outcome) {
    boolean lost = outcome.reason().filter(reason -> reason == Reason.NOT_FOUND).isPresent();
    return request.spec.kind() == RequestKind.GENERATION
        && request.started
        && !lost
        && request.resumes < settings.maxResumes()
        && nowMs < request.deadlineMs
        && targets.find(request.targetId).isPresent();
  }

  private void stopAttempt(long nowMs, ActiveRequest request) {
    if (request.attemptId.isEmpty() || !requestsByAttempt.containsKey(request.attemptId)) {
      return;
    }
    sender.cancel(nowMs, request);
  }

  private static TokenAmount usedTokens(ActiveRequest request) {
    boolean ran = request.verdict != Verdict.NOT_RUN || request.usedTokens > 0;
    return ran
        ? new TokenAmount(request.spec.promptTokens(), request.usedTokens)
        : TokenAmount.NONE;
  }

  private void endAttempt(ActiveRequest request) {
    request.usedTokens += request.attemptTokens;
    request.attemptTokens = 0;
    if (requestsByAttempt.remove(request.attemptId) != null) {
      selector.attemptEnded(request.targetId);
    }
  }

  private void succeed(ActiveRequest request) {
    settleClaim(request, Verdict.RAN);
    effects.logDecision("finish", request.spec, request.targetId, request.sheetVersion, "ran");
    remove(request);
  }

  private void finish(
      ActiveRequest request, Verdict verdict, Reason reason, String message, long retryAfterMs) {
    if (reason != Reason.IDEMPOTENCY_KEY_CLAIMED) {
      settleClaim(request, verdict);
    }
    remove(request);
    effects.logDecision(
        "fail",
        request.spec,
        request.targetId,
        request.sheetVersion,
        reason.label() + ": " + message + " verdict=" + verdict.label());
    boolean retryable = verdict == Verdict.NOT_RUN || request.spec.repeatable();
    effects.failRequest(request.spec, verdict, reason, message, retryable ? retryAfterMs : 0);
  }

  private void settleClaim(ActiveRequest request, Verdict verdict) {
    if (request.claimed) {
      effects.add(settlement(request.spec, verdict));
    }
  }

  private void releaseLateClaim(RequestEvent.ClaimAnswered event) {
    RequestSpec spec = abandonedClaims.remove(event.requestId());
    if (spec != null && event.result() == ClaimResult.CLAIMED) {
      effects.add(settlement(spec, Verdict.NOT_RUN));
    }
  }

  private void remove(ActiveRequest request) {
    requests.remove(request.spec.requestId());
    awaitingTargets.remove(request);
    endAttempt(request);
    budgetManager.settle(request.spec, usedTokens(request));
    if (request.stage == ActiveRequest.Stage.CLAIMING) {
      abandonedClaims.put(request.spec.requestId(), request.spec);
    }
    limiter.release(request.spec.organisation());
  }

  private long retryAfterMs(ActiveRequest request) {
    return request.retryAfterMs > 0 ? request.retryAfterMs : settings.retryAfterMs();
  }

  private static Effect settlement(RequestSpec spec, Verdict verdict) {
    return new Effect.SettleClaim(
        spec.requestId(), spec.organisation(), spec.resource(), spec.idempotencyKey(), verdict);
  }

  private static boolean isOwnerFailure(Outcome outcome) {
    return outcome
        .reason()
        .filter(reason -> reason == Reason.OWNER_FAILED || reason == Reason.NOT_READY)
        .isPresent();
  }

  /** Returns whether the caller gets the answer only once it is complete. */
  private static boolean isCollected(RequestSpec spec) {
    return spec.kind() == RequestKind.GENERATION && !spec.streamed();
  }

  /** Returns whether the request itself is at fault, so that every target would reject it. */
  private static boolean isRequestFault(Reason reason) {
    return reason == Reason.BAD_REQUEST || reason == Reason.TOO_LARGE;
  }

  private static boolean isAllowed(OrganisationEntry organisation, RequestSpec spec) {
    List<String> allowed =
        spec.kind() == RequestKind.GENERATION ? organisation.models() : organisation.services();
    return allowed.contains(spec.resource());
  }

  private static boolean lacksRequiredKey(RequestSpec spec) {
    return !spec.repeatable() && spec.idempotencyKey().isEmpty();
  }
}
