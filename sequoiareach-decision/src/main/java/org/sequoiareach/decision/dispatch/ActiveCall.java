package org.sequoiareach.decision.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RoutedTarget;

/** Holds the state of one call from its arrival to its end. Not thread-safe. */
final class ActiveCall {

  /** The attempts not sent by this daemon whose targets stay eligible; a pause outdates all. */
  private static final int MAX_FORGIVEN_ATTEMPTS = 3;

  private final String callId;
  private final CallProfile profile;
  private final Optional<String> content;
  private final Route route;
  private final String service;
  private final Optional<String> organisation;
  private final int priority;
  private final long deadlineMs;
  private final Set<String> triedTargets = new HashSet<>();
  private final Set<String> possibleRunTargets = new HashSet<>();
  private final Set<String> permitDeniedTargets = new HashSet<>();
  private OptionalLong permitReturnMs = OptionalLong.empty();
  private Optional<RequestTraits> traits = Optional.empty();
  private Optional<RoutedTarget> target = Optional.empty();
  private Optional<SentAttempt> hedge = Optional.empty();
  private boolean hedgeUsed;
  private boolean hedgeUnsettled;
  private boolean crashSuspected;
  private int attempt;
  private int lastAttempt;
  private int reachedAttempts;
  private int forgivenAttempts;
  private int copyRounds;
  private boolean started;
  private boolean survived;
  private long lastSentAtMs;
  private long waitingTokensAtSend;
  private long startedAtMs;
  private long firstEventDelayMs;

  ActiveCall(
      String callId,
      CallProfile profile,
      Optional<String> content,
      Route route,
      String service,
      Optional<String> organisation,
      int priority) {
    this.callId = callId;
    this.profile = profile;
    this.content = content;
    this.route = route;
    this.service = service;
    this.organisation = organisation;
    this.priority = priority;
    this.deadlineMs = Math.min(profile.deadlineMs(), profile.arrivedMs() + route.timeLimitMs());
  }

  String callId() {
    return callId;
  }

  CallProfile profile() {
    return profile;
  }

  /** Returns the memory that a generation is expected to occupy at its end; 0 for a plain call. */
  long expectedMemoryTokens() {
    return profile.generation().map(GenerationDemand::expectedMemoryTokens).orElse(0L);
  }

  /** Returns what other requests may share with this one; computed when first needed. */
  RequestTraits traits() {
    if (traits.isEmpty()) {
      List<String> parts =
          profile.generation().map(GenerationDemand::sharedPartIds).orElse(List.of());
      traits = Optional.of(RequestTraits.of(service, organisation, parts, content));
    }
    return traits.get();
  }

  Route route() {
    return route;
  }

  String service() {
    return service;
  }

  Optional<String> organisation() {
    return organisation;
  }

  int priority() {
    return priority;
  }

  /** Returns the earlier of the caller's deadline and the route's time limit, in milliseconds. */
  long deadlineMs() {
    return deadlineMs;
  }

  /** Returns the target of the attempt in progress, or empty if there is none. */
  Optional<RoutedTarget> target() {
    return target;
  }

  boolean isAssignedTo(String targetId) {
    return target.filter(at -> at.id().equals(targetId)).isPresent();
  }

  int attempt() {
    return attempt;
  }

  /** Returns whether any part of the answer's body was received. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether any attempt so far may have run, apart from the one in progress. */
  Verdict verdict() {
    return possibleRunTargets.isEmpty() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
  }

  /** Returns the number of attempts that reached, or may have reached, their target. */
  int reachedAttempts() {
    return reachedAttempts;
  }

  /** Returns the number of targets that may have run the call, before the attempt in progress. */
  int possibleRuns() {
    return possibleRunTargets.size();
  }

  boolean wasTried(String targetId) {
    return triedTargets.contains(targetId);
  }

  /** Records that an attempt was sent. A previous one that has not failed may have run. */
  void attemptSent(long nowMs, RoutedTarget to) {
    target.ifPresent(replaced -> recordPossibleRun(replaced.id()));
    permitDeniedTargets.clear();
    permitReturnMs = OptionalLong.empty();
    lastSentAtMs = nowMs;
    lastAttempt++;
    attempt = lastAttempt;
    reachedAttempts++;
    target = Optional.of(to);
    triedTargets.add(to.id());
  }

  /** Records the prompt tokens that the latest attempt waits for, with its own ones. */
  void waitsForPrompts(long tokens) {
    waitingTokensAtSend = tokens;
  }

  /** Returns the prompt tokens that the latest attempt waited for; 0 if it reads no prompt. */
  long waitingTokensAtSend() {
    return waitingTokensAtSend;
  }

  /** Returns when the latest attempt was sent, in milliseconds. */
  long lastSentAtMs() {
    return lastSentAtMs;
  }

  /**
   * Records that a permit to send the call to a target was denied since the latest attempt.
   *
   * @param returnMs when a permit for the target is expected, in milliseconds
   */
  void permitDenied(String targetId, long returnMs) {
    permitDeniedTargets.add(targetId);
    permitReturnMs = OptionalLong.of(Math.min(permitReturnMs.orElse(Long.MAX_VALUE), returnMs));
  }

  boolean wasPermitDenied(String targetId) {
    return permitDeniedTargets.contains(targetId);
  }

  /** Returns the number of targets whose permits were denied since the latest attempt. */
  int permitDenials() {
    return permitDeniedTargets.size();
  }

  /**
   * Returns when the first denied permit is expected, in milliseconds; empty if none was denied.
   */
  OptionalLong permitReturnMs() {
    return permitReturnMs;
  }

  /** Records that a part of the answer's body was received. Only the first one is kept. */
  void answerStarted(long nowMs) {
    if (!started) {
      startedAtMs = nowMs;
      firstEventDelayMs = nowMs - lastSentAtMs;
    }
    started = true;
  }

  /**
   * Records that a target survived the call.
   *
   * @return false if that was recorded before
   */
  boolean markSurvived() {
    boolean first = !survived;
    survived = true;
    return first;
  }

  /** Returns the time from sending the first attempt that answered to the start of its answer. */
  long firstEventDelayMs() {
    return firstEventDelayMs;
  }

  /** Returns when the answer's body started, in milliseconds; the arrival if it has not. */
  long startedAtMs() {
    return started ? startedAtMs : profile.arrivedMs();
  }

  /** Records that the attempt in progress failed. A hedged attempt takes its place. */
  void attemptFailed(AttemptFault fault) {
    recordFailure(target, fault);
    target = Optional.empty();
    promoteHedge();
  }

  private void recordFailure(Optional<RoutedTarget> failed, AttemptFault fault) {
    if (!fault.reachedTarget()) {
      reachedAttempts--;
    }
    if (fault.mayHaveRun()) {
      failed.ifPresent(at -> recordPossibleRun(at.id()));
    }
    if (!fault.concernsTarget() && forgivenAttempts < MAX_FORGIVEN_ATTEMPTS) {
      forgivenAttempts++;
      failed.map(RoutedTarget::id).ifPresent(triedTargets::remove);
    }
  }

  /** Records that a second attempt was sent while the first one is in progress. */
  SentAttempt hedgeSent(long nowMs, RoutedTarget to) {
    lastAttempt++;
    reachedAttempts++;
    triedTargets.add(to.id());
    hedgeUsed = true;
    hedgeUnsettled = true;
    SentAttempt sent = new SentAttempt(to, lastAttempt, nowMs);
    hedge = Optional.of(sent);
    return sent;
  }

  /** Returns the second attempt while both attempts are in progress. */
  Optional<SentAttempt> hedge() {
    return hedge;
  }

  /** Returns whether a second attempt was ever sent while another one was in progress. */
  boolean isHedgeUsed() {
    return hedgeUsed;
  }

  /** Returns, on the first call only, whether the outcome of a hedged attempt is to be counted. */
  boolean settleHedge() {
    boolean unsettled = hedgeUnsettled;
    hedgeUnsettled = false;
    return unsettled;
  }

  /** Records that the hedged attempt failed; the first one goes on. */
  void hedgeFailed(AttemptFault fault) {
    recordFailure(hedge.map(SentAttempt::target), fault);
    hedge = Optional.empty();
  }

  /** Records that the other of two attempts was aborted, because this one is delivered. */
  void attemptWon(int number) {
    if (hedge.filter(second -> second.number() == number).isPresent()) {
      target.ifPresent(loser -> recordPossibleRun(loser.id()));
      promoteHedge();
      return;
    }
    hedge.ifPresent(loser -> recordPossibleRun(loser.target().id()));
    hedge = Optional.empty();
  }

  private void promoteHedge() {
    hedge.ifPresent(
        second -> {
          target = Optional.of(second.target());
          attempt = second.number();
          lastSentAtMs = second.sentAtMs();
        });
    hedge = Optional.empty();
  }

  /** Returns the attempt in progress that has a number. */
  Optional<SentAttempt> findAttempt(int number) {
    Optional<SentAttempt> first = target.map(at -> new SentAttempt(at, attempt, lastSentAtMs));
    return first
        .filter(sent -> sent.number() == number)
        .or(() -> hedge.filter(sent -> sent.number() == number));
  }

  /** Records that one of two attempts may have crashed its target, so that none follows. */
  void suspectCrash() {
    crashSuspected = true;
  }

  boolean isCrashSuspected() {
    return crashSuspected;
  }

  /** Records that a target may have run the call; nothing that follows can disprove it. */
  void recordPossibleRun(String targetId) {
    possibleRunTargets.add(targetId);
  }

  /** Numbers the copies of the call's runs, so that none is taken for one of an earlier run. */
  int nextCopyRound() {
    copyRounds++;
    return copyRounds;
  }

  /** Returns the verdict for ending the call now: an attempt in progress may have run. */
  Verdict verdictIfEnded() {
    return target.isPresent() ? Verdict.MAY_HAVE_RUN : verdict();
  }
}
