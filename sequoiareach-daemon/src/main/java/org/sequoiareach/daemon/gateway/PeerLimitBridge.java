package org.sequoiareach.daemon.gateway;

import java.util.OptionalLong;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.TargetRateLimit;
import org.sequoiareach.peer.LimitMessage;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Translates between {@link LimitMessage}s of peers and the events and effects of the reducer.
 * Thread-safe.
 */
final class PeerLimitBridge implements EffectHandler {

  private final EventSink events;
  private final PeerMessageSender sender;

  PeerLimitBridge(EventSink events, PeerMessageSender sender) {
    this.events = events;
    this.sender = sender;
  }

  @Override
  public void handle(Effect effect) {
    long nowMs = MonotonicClock.nowMs();
    if (effect instanceof DispatchEffect.TellLimits tell) {
      sender.send(
          tell.daemonId(),
          tell.address(),
          new LimitMessage.LimitsAnnouncement(
              tell.limits().stream().map(limit -> toMessage(nowMs, limit)).toList()));
    } else if (effect instanceof DispatchEffect.LendShare lend) {
      sender.send(
          lend.daemonId(),
          lend.address(),
          new LimitMessage.ShareLoan(toMessage(nowMs, lend.limit()), lend.daemons()));
    } else if (effect instanceof DispatchEffect.AskPermit ask) {
      sender.send(
          ask.daemonId(),
          ask.address(),
          new LimitMessage.PermitRequest(
              toMessage(nowMs, ask.limit()),
              ask.callId(),
              Math.max(0, ask.latestStartMs() - nowMs),
              plus(ask.coldUntilMs(), -nowMs)));
    } else if (effect instanceof DispatchEffect.AnswerPermit answer) {
      sender.send(
          answer.daemonId(),
          answer.address(),
          new LimitMessage.PermitResponse(
              answer.callId(),
              answer.targetId(),
              answer.granted(),
              Math.max(0, answer.atMs() - nowMs)));
    } else if (effect instanceof DispatchEffect.ReportSpentPermit spent) {
      sender.send(
          spent.daemonId(),
          spent.address(),
          new LimitMessage.SpentPermit(toMessage(nowMs, spent.limit())));
    }
  }

  void onMessage(String fromDaemon, LimitMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof LimitMessage.LimitsAnnouncement announced) {
      events.post(
          new DispatchEvent.LimitsTold(
              nowMs,
              fromDaemon,
              announced.limits().stream().map(limit -> toModel(nowMs, limit)).toList()));
    } else if (message instanceof LimitMessage.ShareLoan loan) {
      events.post(
          new DispatchEvent.ShareLent(
              nowMs, fromDaemon, toModel(nowMs, loan.limit()), loan.daemons()));
    } else if (message instanceof LimitMessage.PermitRequest request) {
      events.post(
          new DispatchEvent.PermitAsked(
              nowMs,
              fromDaemon,
              toModel(nowMs, request.limit()),
              request.callId(),
              nowMs + request.startWithinMs(),
              plus(request.coldMs(), nowMs)));
    } else if (message instanceof LimitMessage.PermitResponse response) {
      events.post(
          new DispatchEvent.PermitAnswered(
              nowMs,
              response.callId(),
              response.targetId(),
              response.granted(),
              nowMs + response.afterMs()));
    } else if (message instanceof LimitMessage.SpentPermit spent) {
      events.post(new DispatchEvent.PermitSpent(nowMs, fromDaemon, toModel(nowMs, spent.limit())));
    }
  }

  private static OptionalLong plus(OptionalLong timeMs, long addedMs) {
    return timeMs.isPresent()
        ? OptionalLong.of(Math.max(0, timeMs.getAsLong() + addedMs))
        : OptionalLong.empty();
  }

  private static LimitMessage.KnownLimit toMessage(long nowMs, TargetRateLimit limit) {
    return new LimitMessage.KnownLimit(
        limit.targetId(),
        limit.incarnation(),
        limit.perSecond(),
        Math.max(0, nowMs - limit.observedAtMs()));
  }

  private static TargetRateLimit toModel(long nowMs, LimitMessage.KnownLimit limit) {
    return new TargetRateLimit(
        limit.targetId(), limit.incarnation(), limit.perSecond(), nowMs - limit.ageMs());
  }
}
