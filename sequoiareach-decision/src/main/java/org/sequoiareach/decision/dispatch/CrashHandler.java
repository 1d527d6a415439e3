package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sequoiareach.decision.quarantine.CrashDetector;
import org.sequoiareach.decision.quarantine.CrashHistory;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Detects crashes of targets from attempts whose connections broke off, and shares them with the
 * other daemons. Not thread-safe.
 */
final class CrashHandler {

  /**
   * The time after its first part in which an answer that breaks off may itself have crashed its
   * target, and after which it shows that it did not.
   */
  static final long ANSWER_START_MS = 500;

  /** The crashes told in one message. */
  private static final int MAX_TOLD = 16;

  private final DispatchContext context;
  private final CrashDetector detector;
  private final CrashHistory history;
  private final PeerRotation peers;
  private final ChangeQueue<String, CrashReport> untold = new ChangeQueue<>(MAX_TOLD);

  CrashHandler(DispatchContext context, CrashHistory history) {
    this.context = context;
    this.history = history;
    this.detector = new CrashDetector(context.membership().selfId());
    this.peers = new PeerRotation(context.membership());
  }

  /**
   * Considers whether a failed attempt shows that its target has crashed.
   *
   * @return whether the target is probed to find out
   */
  boolean onAttemptFailed(DispatchEvent.AttemptFailed event, ActiveCall call, RoutedTarget target) {
    if (event.fault() == AttemptFault.NOBODY_THERE) {
      report(event.nowMs(), detector.onNobodyThere(target.id()), "nobody listens");
      return false;
    }
    boolean justStarted = !call.isStarted() || event.nowMs() - call.startedAtMs() < ANSWER_START_MS;
    if (!event.disconnected() || !justStarted || !context.mayReceive(event.nowMs(), target.id())) {
      return false;
    }
    if (detector.addBrokenRun(event.nowMs(), target, call.traits())) {
      context.effects().add(new DispatchEffect.ProbeTarget(target));
    }
    return true;
  }

  void onTargetProbed(DispatchEvent.TargetProbed event) {
    switch (event.outcome()) {
      case REACHED -> detector.onReached(event.targetId());
      case REFUSED ->
          report(event.nowMs(), detector.onNobodyThere(event.targetId()), "probe refused");
      default -> {}
    }
  }

  /** Considers whether a change of the listed targets shows that one of them has crashed. */
  void onTargetsChanged(DispatchEvent event) {
    if (event instanceof DispatchEvent.TargetChanged changed) {
      report(event.nowMs(), detector.onListed(changed.target()), "new incarnation");
    } else if (event instanceof DispatchEvent.TargetsListed listed) {
      listed
          .targets()
          .forEach(target -> report(event.nowMs(), detector.onListed(target), "new incarnation"));
    } else if (event instanceof DispatchEvent.TargetRemoved removed) {
      report(event.nowMs(), detector.onRemoved(removed.targetId()), "entry removed");
    }
  }

  void onCrashesTold(DispatchEvent.CrashesTold event) {
    for (CrashReport told : event.reports()) {
      if (history.add(told)) {
        log(event.nowMs(), told, "told by " + event.daemonId());
        untold.put(keyOf(told), told);
      }
      report(event.nowMs(), detector.onReported(told), "confirmed by " + event.daemonId());
    }
  }

  /** Sends what is known to a daemon that has just joined. */
  void tellAll(String daemonId, String address) {
    List<CrashReport> known = history.reports();
    for (int from = 0; from < known.size(); from += MAX_TOLD) {
      List<CrashReport> told = known.subList(from, Math.min(known.size(), from + MAX_TOLD));
      context.effects().add(new DispatchEffect.TellCrashes(daemonId, address, told));
    }
  }

  void tick(long nowMs) {
    detector.expire(nowMs);
    history.expire(nowMs);
    if (untold.isEmpty()) {
      return;
    }
    List<CrashReport> told = untold.take();
    peers
        .nextRecipients()
        .forEach(
            peer ->
                context
                    .effects()
                    .add(new DispatchEffect.TellCrashes(peer.daemonId(), peer.address(), told)));
  }

  private void report(long nowMs, Optional<CrashReport> confirmed, String evidence) {
    confirmed
        .filter(history::add)
        .ifPresent(
            crash -> {
              log(nowMs, crash, evidence);
              untold.put(keyOf(crash), crash);
            });
  }

  private void log(long nowMs, CrashReport crash, String evidence) {
    String runs =
        crash.runs().stream().map(RequestTraits::toString).collect(Collectors.joining(" | "));
    context.logDecision(
        "target-crashed",
        "",
        "",
        crash.targetId(),
        "incarnation="
            + crash.incarnation()
            + " age="
            + (nowMs - crash.atMs())
            + "ms evidence="
            + evidence
            + " daemon="
            + crash.daemonId()
            + " runs="
            + runs);
  }

  private static String keyOf(CrashReport report) {
    return report.targetId() + "/" + report.incarnation() + "/" + report.daemonId();
  }
}
