package org.sequoiareach.daemon.gateway;

import java.util.OptionalLong;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.peer.QuarantineMessage;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Translates between {@link QuarantineMessage}s of peers and the events and effects of the reducer.
 * Thread-safe.
 */
final class PeerQuarantineBridge implements EffectHandler {

  private final EventSink events;
  private final PeerMessageSender sender;

  PeerQuarantineBridge(EventSink events, PeerMessageSender sender) {
    this.events = events;
    this.sender = sender;
  }

  @Override
  public void handle(Effect effect) {
    long nowMs = MonotonicClock.nowMs();
    if (effect instanceof DispatchEffect.TellCrashes tell) {
      sender.send(
          tell.daemonId(),
          tell.address(),
          new QuarantineMessage.CrashAnnouncement(
              tell.reports().stream().map(report -> toKnownCrash(nowMs, report)).toList()));
    } else if (effect instanceof DispatchEffect.TellQuarantines tell) {
      sender.send(
          tell.daemonId(),
          tell.address(),
          new QuarantineMessage.QuarantineAnnouncement(
              tell.quarantines().stream().map(one -> toKnownQuarantine(nowMs, one)).toList()));
    }
  }

  void onMessage(String fromDaemon, QuarantineMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof QuarantineMessage.CrashAnnouncement announced) {
      events.post(
          new DispatchEvent.CrashesTold(
              nowMs,
              fromDaemon,
              announced.crashes().stream().map(crash -> toReport(nowMs, crash)).toList()));
    } else if (message instanceof QuarantineMessage.QuarantineAnnouncement announced) {
      events.post(
          new DispatchEvent.QuarantinesTold(
              nowMs,
              fromDaemon,
              announced.quarantines().stream().map(one -> toQuarantine(nowMs, one)).toList()));
    }
  }

  private static QuarantineMessage.KnownCrash toKnownCrash(long nowMs, CrashReport report) {
    return new QuarantineMessage.KnownCrash(
        report.targetId(),
        report.incarnation(),
        report.service(),
        report.daemonId(),
        Math.max(0, nowMs - report.atMs()),
        report.runs().stream().map(RequestTraits::digests).toList());
  }

  private static CrashReport toReport(long nowMs, QuarantineMessage.KnownCrash crash) {
    return new CrashReport(
        crash.targetId(),
        crash.incarnation(),
        crash.service(),
        crash.daemonId(),
        nowMs - crash.ageMs(),
        crash.runs().stream().map(RequestTraits::new).toList());
  }

  private static QuarantineMessage.KnownQuarantine toKnownQuarantine(long nowMs, Quarantine one) {
    return new QuarantineMessage.KnownQuarantine(
        one.traits().digests(),
        one.crashes(),
        Math.max(0, nowMs - one.evidenceSinceMs()),
        Math.max(0, nowMs - one.proposedAtMs()),
        Math.max(0, nowMs - one.matchedAtMs()),
        one.trialAtMs() - nowMs,
        one.trials(),
        one.isLifted()
            ? OptionalLong.of(Math.max(0, nowMs - one.liftedAtMs().getAsLong()))
            : OptionalLong.empty());
  }

  private static Quarantine toQuarantine(long nowMs, QuarantineMessage.KnownQuarantine one) {
    return new Quarantine(
        new RequestTraits(one.traits()),
        one.crashes(),
        nowMs - one.evidenceAgeMs(),
        nowMs - one.ageMs(),
        nowMs - one.matchAgeMs(),
        nowMs + one.trialInMs(),
        one.trials(),
        one.liftAgeMs().isPresent()
            ? OptionalLong.of(nowMs - one.liftAgeMs().getAsLong())
            : OptionalLong.empty());
  }
}
