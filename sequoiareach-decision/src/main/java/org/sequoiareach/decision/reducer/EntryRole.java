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
 * Plays the daemon's role as entry of requests: it admits them, chooses where they are tried, and
 * gives each its final answer.
 */
final class EntryRole {

  private final ReducerSettings settings;
  private final TargetRegistry targets;
  private final Peers peers;
  private final TargetSelector selector;
  private final OwnerRole owner;
  private final AttemptSender sender;
  private final BudgetRole budgets;
  private final EffectLog log;
  private final OrganisationLimiter limiter = new OrganisationLimiter();
  private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();
  private final Map<String, ActiveRequest> byAttempt = new HashMap<>();
  private final Map<String, RequestSpec> unansweredClaims = new HashMap<>();
  private final Set<ActiveRequest> parked = new LinkedHashSet<>();

  EntryRole(
      ReducerSettings settings,
      TargetRegistry targets,
      Peers peers,
      TargetSelector selector,
      OwnerRole owner,
      BudgetRole budgets,
      EffectLog log) {
    this.settings = settings;
    this.targets = targets;
    this.peers = peers;
    this.selector = selector;
    this.owner = owner;
    this.sender = new AttemptSender(settings, targets, peers, owner, log);
    this.budgets = budgets;
    this.log = log;
  }

  /** Admits a request or refuses it at once. */
  void arrived(RequestEvent.RequestArrived event, Sheet sheet) {
    RequestSpec spec = event.spec();
    Optional<OrganisationEntry> organisation = sheet.findOrganisation(spec.organisation());
    if (organisation.isEmpty() || !mayUse(organisation.get(), spec)) {
      String message = spec.organisation() + " may not use " + spec.resource();
      refuse(spec, sheet.version(), Reason.NOT_ALLOWED, message, 0);
      return;
    }
    if (needsKey(spec)) {
      String message = "this call may not be repeated and needs an Idempotency-Key";
      refuse(spec, sheet.version(), Reason.IDEMPOTENCY_KEY_REQUIRED, message, 0);
      return;
    }
    String excess =
        limiter.admit(
            event.nowMs(), spec.organisation(), organisation.get().limits(), peers.liveDaemons());
    if (!excess.isEmpty()) {
      long retryAfterMs = settings.retryAfterMs();
      refuse(spec, sheet.version(), Reason.ORGANISATION_LIMIT, excess, retryAfterMs);
      return;
    }
    int priority = organisation.get().priority();
    ActiveRequest request = new ActiveRequest(spec, priority, sheet.version(), event.deadlineMs());
    requests.put(spec.requestId(), request);
    begin(event.nowMs(), request);
  }

  /** Refuses a request before anything is known of it but its shape. */
  void refuse(
      RequestSpec spec, long sheetVersion, Reason reason, String message, long retryAfterMs) {
    log.decision("refuse", spec, "", sheetVersion, reason.label() + ": " + message);
    log.fail(spec, Verdict.NOT_RUN, reason, message, retryAfterMs);
  }

  void claimAnswered(RequestEvent.ClaimAnswered event) {
    ActiveRequest request = requests.get(event.requestId());
    if (request == null || request.stage != ActiveRequest.Stage.CLAIMING) {
      giveBackLateClaim(event);
      return;
    }
    request.stage = ActiveRequest.Stage.TRYING;
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
              "the idempotency key could not be claimed",
              settings.retryAfterMs());
      default -> {
        String message = "the idempotency key was used by an earlier call";
        if (event.result() == ClaimResult.FINISHED_BY_OTHER) {
          message = "the idempotency key belongs to a call that has finished";
        }
        finish(request, Verdict.MAY_HAVE_RUN, Reason.IDEMPOTENCY_KEY_CLAIMED, message, 0);
      }
    }
  }

  void cancelled(long nowMs, String requestId) {
    ActiveRequest request = requests.get(requestId);
    if (request == null) {
      return;
    }
    stopAttempt(nowMs, request);
    String message = "the caller has cancelled the request";
    finish(request, request.verdict, Reason.CANCELLED, message, 0);
  }

  /** Lets go of a request whose caller may resume the generation through any daemon. */
  void detached(long nowMs, String requestId) {
    ActiveRequest request = requests.get(requestId);
    if (request == null) {
      return;
    }
    log.decision(
        "detach", request.spec, request.targetId, request.sheetVersion, "the caller is gone");
    owner.remove(nowMs, request.attemptId);
    log.add(new Effect.ReleaseAttempt(request.attemptId));
    // The generation goes on unseen: it is taken to use all that was reserved for it.
    RequestSpec spec = request.spec;
    budgets.settle(spec, new TokenAmount(spec.promptTokens(), spec.maxTokens()));
    forget(request);
  }

  void started(RequestEvent.AttemptStarted event) {
    ActiveRequest request = byAttempt.get(event.attemptId());
    if (request == null) {
      return;
    }
    request.started = true;
  }

  /**
   * Takes the end of an attempt. Returns true if the same generation is resumed, so that the
   * attempt is not over.
   */
  boolean ended(long nowMs, String attemptId, Outcome outcome) {
    ActiveRequest request = byAttempt.get(attemptId);
    if (request == null) {
      return false;
    }
    selector.judge(nowMs, request, outcome);
    if (outcome.succeeded()) {
      request.attemptTokens = outcome.tokens();
      succeed(request);
      return false;
    }
    request.verdict = request.verdict.and(outcome.verdict());
    request.retryAfterMs = Math.max(request.retryAfterMs, outcome.retryAfterMs());
    if (mayResume(nowMs, request, outcome)) {
      sender.resume(nowMs, request, outcome);
      return true;
    }
    endAttempt(request);
    retryOrFinish(nowMs, request, outcome);
    return false;
  }

  /** Routes the requests that waited for the list of targets to be read again. */
  void targetsKnown(long nowMs) {
    List<ActiveRequest> waiting = List.copyOf(parked);
    parked.clear();
    waiting.forEach(request -> route(nowMs, request));
  }

  /** Goes on with the requests that wait for a portion of the plans of some organisations. */
  void funded(long nowMs, Predicate<String> organisations) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      boolean waits = request.stage == ActiveRequest.Stage.FUNDING;
      if (waits && organisations.test(request.spec.organisation())) {
        fund(nowMs, request);
      }
    }
  }

  void progressed(RequestEvent.AttemptProgressed event) {
    ActiveRequest request = byAttempt.get(event.attemptId());
    if (request != null) {
      request.attemptTokens = event.tokens();
      request.resumes = 0;
    }
  }

  /** Ends every attempt that went to a daemon that is gone. */
  void daemonLost(long nowMs, String daemonId) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      if (!request.ownerId.equals(daemonId) || request.attemptId.isEmpty()) {
        continue;
      }
      log.add(new Effect.CancelAttempt(request.attemptId));
      String message = "daemon " + daemonId + ", which owns the target, was lost";
      Outcome outcome = Outcome.failed(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, message);
      ended(nowMs, request.attemptId, outcome);
    }
  }

  /** Gives up every request whose deadline has passed. */
  void expire(long nowMs) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      boolean unfunded = request.stage == ActiveRequest.Stage.FUNDING && nowMs >= request.fundByMs;
      if (unfunded) {
        String message = "no portion of the plan could be had";
        long retryAfterMs = settings.retryAfterMs();
        finish(request, Verdict.NOT_RUN, Reason.BUDGET_UNAVAILABLE, message, retryAfterMs);
      } else if (nowMs >= request.deadlineMs) {
        stopAttempt(nowMs, request);
        String message = "the request's deadline has passed";
        finish(request, request.verdict, Reason.DEADLINE, message, settings.retryAfterMs());
      }
    }
  }

  /** Gives up every request, as the daemon has reached its own final deadline. */
  void abandonAll(long nowMs) {
    for (ActiveRequest request : List.copyOf(requests.values())) {
      stopAttempt(nowMs, request);
      String message = "the daemon has stopped";
      finish(request, request.verdict, Reason.NOT_READY, message, settings.retryAfterMs());
    }
  }

  int requestsInProgress() {
    return requests.size();
  }

  private void begin(long nowMs, ActiveRequest request) {
    if (request.spec.kind() == RequestKind.GENERATION) {
      request.fundByMs = nowMs + settings.fundWithinMs();
      fund(nowMs, request);
      return;
    }
    if (request.spec.repeatable()) {
      route(nowMs, request);
      return;
    }
    request.stage = ActiveRequest.Stage.CLAIMING;
    RequestSpec spec = request.spec;
    log.add(
        new Effect.Claim(
            spec.requestId(),
            spec.organisation(),
            spec.resource(),
            spec.idempotencyKey(),
            request.deadlineMs));
  }

  /** Reserves a request's tokens in its organisation's plan, then routes it. */
  private void fund(long nowMs, ActiveRequest request) {
    request.stage = ActiveRequest.Stage.FUNDING;
    switch (budgets.reserve(nowMs, request.spec)) {
      case RESERVED -> {
        request.stage = ActiveRequest.Stage.TRYING;
        route(nowMs, request);
      }
      case SPENT -> {
        String message = "the plan of the day has no room for this request";
        long retryAfterMs = budgets.untilNextDayMs(nowMs);
        finish(request, Verdict.NOT_RUN, Reason.BUDGET_SPENT, message, retryAfterMs);
      }
      default -> {
        // It waits until a portion was written down.
      }
    }
  }

  private void route(long nowMs, ActiveRequest request) {
    if (!targets.isKnown()) {
      parked.add(request);
      return;
    }
    RequestSpec spec = request.spec;
    Optional<RouteChoice> choice = selector.choose(nowMs, request);
    if (choice.isEmpty()) {
      Reason reason = request.attempts == 0 ? Reason.NO_TARGET : Reason.NO_CAPACITY;
      String message = "no live target has room for " + spec.resource();
      finish(request, request.verdict, reason, message, retryAfter(request));
      return;
    }
    String targetId = choice.get().targetId();
    request.attemptId = request.nextAttemptId();
    request.targetId = targetId;
    request.triedTargets.add(targetId);
    byAttempt.put(request.attemptId, request);
    selector.attemptBegun(targetId);
    boolean generation = spec.kind() == RequestKind.GENERATION;
    request.ownerId = generation ? sender.ownerFor(request, targetId) : settings.daemonId();
    String reason = choice.get().reason() + " owner=" + request.ownerId;
    log.decision("route", spec, targetId, request.sheetVersion, reason, choice.get().losers());
    sender.send(nowMs, request);
  }

  private void retryOrFinish(long nowMs, ActiveRequest request, Outcome outcome) {
    boolean certain = outcome.verdict() == Verdict.NOT_RUN;
    boolean unseen = !request.started || !request.spec.streamed();
    boolean allowed = certain || (request.spec.repeatable() && unseen);
    boolean useful = outcome.reason().filter(EntryRole::isOfRequest).isEmpty();
    boolean left = request.attempts < settings.maxAttempts();
    if (isOfOwner(outcome)) {
      // The target is not to blame: it may be tried again without this owner.
      request.failedOwners.add(request.ownerId);
      request.triedTargets.remove(request.targetId);
    }
    if (allowed && useful && left && nowMs < request.deadlineMs) {
      log.decision(
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
      // The engine lost the generation; the caller asked for nothing that does not exist.
      reason = Reason.TARGET_FAILED;
      message = "target " + request.targetId + " no longer has the generation";
    }
    finish(request, request.verdict, reason, message, retryAfter(request));
  }

  private boolean mayResume(long nowMs, ActiveRequest request, Outcome outcome) {
    boolean lost = outcome.reason().filter(reason -> reason == Reason.NOT_FOUND).isPresent();
    return request.spec.kind() == RequestKind.GENERATION
        && request.started
        && !lost
        && request.resumes < settings.maxResumes()
        && nowMs < request.deadlineMs
        && targets.find(request.targetId).isPresent();
  }

  private void stopAttempt(long nowMs, ActiveRequest request) {
    if (request.attemptId.isEmpty() || !byAttempt.containsKey(request.attemptId)) {
      return;
    }
    sender.cancel(nowMs, request);
  }

  private static TokenAmount used(ActiveRequest request) {
    boolean ran = request.verdict != Verdict.NOT_RUN || request.usedTokens > 0;
    return ran
        ? new TokenAmount(request.spec.promptTokens(), request.usedTokens)
        : TokenAmount.NONE;
  }

  private void endAttempt(ActiveRequest request) {
    request.usedTokens += request.attemptTokens;
    request.attemptTokens = 0;
    if (byAttempt.remove(request.attemptId) != null) {
      selector.attemptOver(request.targetId);
    }
  }

  private void succeed(ActiveRequest request) {
    settle(request, Verdict.RAN);
    log.decision("finish", request.spec, request.targetId, request.sheetVersion, "ran");
    forget(request);
  }

  private void finish(
      ActiveRequest request, Verdict verdict, Reason reason, String message, long retryAfterMs) {
    if (reason != Reason.IDEMPOTENCY_KEY_CLAIMED) {
      settle(request, verdict);
    }
    forget(request);
    log.decision(
        "fail",
        request.spec,
        request.targetId,
        request.sheetVersion,
        reason.label() + ": " + message + " verdict=" + verdict.label());
    boolean useful = verdict == Verdict.NOT_RUN || request.spec.repeatable();
    log.fail(request.spec, verdict, reason, message, useful ? retryAfterMs : 0);
  }

  private void settle(ActiveRequest request, Verdict verdict) {
    if (request.claimed) {
      log.add(settlement(request.spec, verdict));
    }
  }

  private void giveBackLateClaim(RequestEvent.ClaimAnswered event) {
    RequestSpec spec = unansweredClaims.remove(event.requestId());
    if (spec != null && event.result() == ClaimResult.CLAIMED) {
      log.add(settlement(spec, Verdict.NOT_RUN));
    }
  }

  private void forget(ActiveRequest request) {
    requests.remove(request.spec.requestId());
    parked.remove(request);
    endAttempt(request);
    budgets.settle(request.spec, used(request));
    if (request.stage == ActiveRequest.Stage.CLAIMING) {
      unansweredClaims.put(request.spec.requestId(), request.spec);
    }
    limiter.release(request.spec.organisation());
  }

  private long retryAfter(ActiveRequest request) {
    return request.retryAfterMs > 0 ? request.retryAfterMs : settings.retryAfterMs();
  }

  private static Effect settlement(RequestSpec spec, Verdict verdict) {
    return new Effect.SettleClaim(
        spec.requestId(), spec.organisation(), spec.resource(), spec.idempotencyKey(), verdict);
  }

  private static boolean isOfOwner(Outcome outcome) {
    return outcome
        .reason()
        .filter(reason -> reason == Reason.OWNER_FAILED || reason == Reason.NOT_READY)
        .isPresent();
  }

  /** Tells whether a reason lies in the request itself, so that every target would give it. */
  private static boolean isOfRequest(Reason reason) {
    return reason == Reason.BAD_REQUEST || reason == Reason.TOO_LARGE;
  }

  private static boolean mayUse(OrganisationEntry organisation, RequestSpec spec) {
    List<String> allowed =
        spec.kind() == RequestKind.GENERATION ? organisation.models() : organisation.services();
    return allowed.contains(spec.resource());
  }

  private static boolean needsKey(RequestSpec spec) {
    return !spec.repeatable() && spec.idempotencyKey().isEmpty();
  }
}
