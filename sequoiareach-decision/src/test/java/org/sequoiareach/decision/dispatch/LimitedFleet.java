package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipView;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.model.route.TargetRateLimit;

/**
 * Simulates a fleet of dispatch reducers, joined by delayed messages, in front of targets of one
 * plain service. Each daemon's clock has an offset of its own.
 */
final class LimitedFleet extends AbstractFleet {

  private static final String SERVICE = DispatchFixture.DESK;
  private static final long ANSWER_MS = 20;
  private static final long CALLER_DEADLINE_MS = 1_500;

  private final List<RoutedTarget> targets = new ArrayList<>();
  private final Map<String, OptionalDouble> limits = new HashMap<>();
  private final Map<String, List<Long>> arrivalsMs = new HashMap<>();
  private final Map<String, Integer> connectionShares = new HashMap<>();
  private final List<Long> secondSendsMs = new ArrayList<>();
  private String route = "booking";
  private boolean failing;
  private int calls;
  private int served;
  private int refused;
  private int refusedWithoutReturn;

  LimitedFleet(int size, int targetCount, long seed) {
    super(seed);
    for (int i = 0; i < targetCount; i++) {
      targets.add(new RoutedTarget(SERVICE + i, 1, SERVICE, "10.9.0." + i + ":80", "z0", 6, false));
      limits.put(SERVICE + i, OptionalDouble.empty());
      arrivalsMs.put(SERVICE + i, new ArrayList<>());
    }
    start(size);
  }

  @Override
  List<RoutedTarget> listedTargets() {
    return targets;
  }

  /** Lets callers send calls at a constant rate to random daemons out of the first ones. */
  void load(double perSecond, int entryDaemons, long fromMs, long untilMs) {
    for (double atMs = fromMs; atMs < untilMs; atMs += 1_000 / perSecond) {
      at((long) atMs, () -> call(daemons().get(random().nextInt(entryDaemons))));
    }
  }

  /** Selects the route of the calls that callers send from now on. */
  void useRoute(String name) {
    route = name;
  }

  /** Lets all targets answer with an error from now on. */
  void failAnswers() {
    failing = true;
  }

  /** Returns the sum of the connections that the daemons may open to one target. */
  int totalConnectionShares() {
    return connectionShares.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the most second sends of calls in any window. */
  int mostSecondSends(long windowMs) {
    return secondSendsMs.stream()
        .mapToInt(
            fromMs ->
                (int)
                    secondSendsMs.stream()
                        .filter(at -> at >= fromMs && at < fromMs + windowMs)
                        .count())
        .max()
        .orElse(0);
  }

  void setLimit(int target, double perSecond) {
    limits.put(SERVICE + target, OptionalDouble.of(perSecond));
  }

  void endLimit(int target) {
    limits.put(SERVICE + target, OptionalDouble.empty());
  }

  /** Returns the daemon that owns a target while all daemons are alive. */
  int ownerOf(int target) {
    List<Member> members =
        daemons().stream()
            .map(one -> new Member(one.id(), one.id(), one.zone(), 1, MemberState.ALIVE, false, 0))
            .toList();
    RoutedTarget owned = targets.get(target);
    return new RendezvousOwnership()
        .findOwner(owned.id(), owned.zone(), new MembershipView(1, members))
        .map(owner -> numberOf(owner.daemonId()))
        .orElseThrow();
  }

  int served() {
    return served;
  }

  int refused() {
    return refused;
  }

  int refusedWithoutReturn() {
    return refusedWithoutReturn;
  }

  long arrivals(int target, long fromMs, long untilMs) {
    return arrivalsMs.get(SERVICE + target).stream()
        .filter(at -> at >= fromMs && at < untilMs)
        .count();
  }

  /** Returns the most arrivals at a target in any window that starts after the given time. */
  int mostArrivals(int target, long windowMs, long fromMs) {
    List<Long> bound =
        arrivalsMs.get(SERVICE + target).stream().filter(at -> at >= fromMs).toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < bound.size(); last++) {
      while (bound.get(last) - bound.get(first) >= windowMs) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private void call(Daemon daemon) {
    calls++;
    String callId = "c" + calls;
    daemon.apply(
        nowMs ->
            new DispatchEvent.CallArrived(
                nowMs,
                callId,
                new CallProfile(
                    callId,
                    DispatchFixture.HOST,
                    "/" + route + "/1",
                    Optional.of(KEY),
                    nowMs,
                    nowMs + CALLER_DEADLINE_MS,
                    Optional.empty()),
                Optional.empty()));
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    long nowMs = daemon.nowMs();
    if (effect instanceof DispatchEffect.SendCall send) {
      connectionShares.merge(daemon.id(), send.maxConnections(), Math::max);
      clock().after(messageDelayMs(), () -> receiveAtTarget(daemon, send));
    } else if (effect instanceof DispatchEffect.RefuseCall refusal) {
      refused++;
      // A call that a frozen daemon held past its deadline has no time left to return.
      boolean mayReturn = refusal.reason() != Reason.DEADLINE;
      refusedWithoutReturn += mayReturn && refusal.retryAfterMs() == 0 ? 1 : 0;
    } else if (effect instanceof DispatchEffect.TellLimits tell) {
      List<Long> agesMs =
          tell.limits().stream().map(limit -> nowMs - limit.observedAtMs()).toList();
      daemon.deliver(
          tell.daemonId(),
          at ->
              new DispatchEvent.LimitsTold(
                  at,
                  daemon.id(),
                  IntStream.range(0, agesMs.size())
                      .mapToObj(i -> aged(at, tell.limits().get(i), agesMs.get(i)))
                      .toList()));
    } else if (effect instanceof DispatchEffect.LendShare lend) {
      long ageMs = nowMs - lend.limit().observedAtMs();
      daemon.deliver(
          lend.daemonId(),
          at ->
              new DispatchEvent.ShareLent(
                  at, daemon.id(), aged(at, lend.limit(), ageMs), lend.daemons()));
    } else if (effect instanceof DispatchEffect.AskPermit ask) {
      long ageMs = nowMs - ask.limit().observedAtMs();
      long withinMs = ask.latestStartMs() - nowMs;
      OptionalLong coldMs =
          ask.coldUntilMs().isPresent()
              ? OptionalLong.of(ask.coldUntilMs().getAsLong() - nowMs)
              : OptionalLong.empty();
      daemon.deliver(
          ask.daemonId(),
          at ->
              new DispatchEvent.PermitAsked(
                  at,
                  daemon.id(),
                  aged(at, ask.limit(), ageMs),
                  ask.callId(),
                  at + withinMs,
                  coldMs.isPresent()
                      ? OptionalLong.of(at + coldMs.getAsLong())
                      : OptionalLong.empty()));
    } else if (effect instanceof DispatchEffect.AnswerPermit answer) {
      long afterMs = answer.atMs() - nowMs;
      daemon.deliver(
          answer.daemonId(),
          at ->
              new DispatchEvent.PermitAnswered(
                  at, answer.callId(), answer.targetId(), answer.granted(), at + afterMs));
    }
  }

  private void receiveAtTarget(Daemon daemon, DispatchEffect.SendCall send) {
    arrivalsMs.get(send.target().id()).add(elapsedMs());
    if (send.attempt() > 1) {
      secondSendsMs.add(elapsedMs());
    }
    OptionalDouble limit = limits.get(send.target().id());
    StatedRate rate = limit.isPresent() ? StatedRate.of(limit.getAsDouble()) : StatedRate.NONE;
    clock()
        .after(
            ANSWER_MS,
            () -> {
              daemon.apply(
                  at -> new DispatchEvent.RateStated(at, send.callId(), send.attempt(), rate));
              daemon.apply(at -> endOf(at, send));
              served += failing ? 0 : 1;
            });
  }

  private Event endOf(long atMs, DispatchEffect.SendCall send) {
    return failing
        ? new DispatchEvent.AttemptFailed(
            atMs,
            send.callId(),
            send.attempt(),
            AttemptFault.SERVER_ERROR,
            0,
            false,
            false,
            "failing")
        : new DispatchEvent.AnswerDelivered(atMs, send.callId(), send.attempt(), 200, "");
  }

  private static TargetRateLimit aged(long atMs, TargetRateLimit limit, long ageMs) {
    return new TargetRateLimit(
        limit.targetId(), limit.incarnation(), limit.perSecond(), atMs - ageMs);
  }
}
