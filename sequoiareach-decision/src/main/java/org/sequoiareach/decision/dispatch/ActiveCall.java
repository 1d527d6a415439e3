package org.sequoiareach.decision.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.Route;
import org.sequoiareach.model.route.RoutedTarget;

/** Follows one request from its arrival to its end. Not thread-safe. */
final class ActiveCall {

  private final String callId;
  private final CallProfile profile;
  private final Route route;
  private final String service;
  private final Optional<String> organisation;
  private final int priority;
  private final long deadlineMs;
  private final Set<String> triedTargets = new HashSet<>();
  private Optional<RoutedTarget> target = Optional.empty();
  private Verdict verdict = Verdict.NOT_RUN;
  private int attempt;
  private int arrivals;
  private int runs;
  private boolean started;

  ActiveCall(
      String callId,
      CallProfile profile,
      Route route,
      String service,
      Optional<String> organisation,
      int priority) {
    this.callId = callId;
    this.profile = profile;
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

  /** Returns when it must be over: by its caller's deadline and its route's time limit. */
  long deadlineMs() {
    return deadlineMs;
  }

  /** Returns the target of the attempt in progress. */
  Optional<RoutedTarget> target() {
    return target;
  }

  boolean isAt(String targetId) {
    return target.filter(at -> at.id().equals(targetId)).isPresent();
  }

  int attempt() {
    return attempt;
  }

  /** Tells whether a part of its answer was received. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether any attempt so far may have run. */
  Verdict verdict() {
    return verdict;
  }

  int arrivals() {
    return arrivals;
  }

  int runs() {
    return runs;
  }

  boolean wasTried(String targetId) {
    return triedTargets.contains(targetId);
  }

  void sent(RoutedTarget to) {
    attempt++;
    arrivals++;
    target = Optional.of(to);
    triedTargets.add(to.id());
  }

  void answerStarted() {
    started = true;
  }

  void failed(AttemptFault fault) {
    target = Optional.empty();
    if (!fault.arrived()) {
      arrivals--;
    }
    if (fault.mayHaveRun()) {
      verdict = verdict.and(Verdict.MAY_HAVE_RUN);
      runs++;
    }
  }

  /** Returns the verdict if it were ended now, with its attempt still in progress. */
  Verdict verdictIfEnded() {
    return target.isPresent() ? verdict.and(Verdict.MAY_HAVE_RUN) : verdict;
  }
}
