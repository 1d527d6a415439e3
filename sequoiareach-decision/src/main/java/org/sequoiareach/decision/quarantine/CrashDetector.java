package org.sequoiareach.decision.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Tells the crash of a target from a lost connection to it.
 *
 * <p>Runs that broke off before they were answered are kept until something shows that the target
 * has crashed, or that it lives. Not thread-safe: confined to the control thread.
 */
public final class CrashDetector {

  /** Longer than the store takes to notice that a target no longer renews its entry. */
  static final long CONFIRMATION_MS = 6_000;

  /** The targets that are observed at once; connections to more of them break in a network cut. */
  private static final int MAX_PENDING = 128;

  private final String daemonId;
  private final Map<String, Pending> pending = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param daemonId the daemon that the reports are made by
   */
  public CrashDetector(String daemonId) {
    this.daemonId = Check.hasText(daemonId, "daemonId");
  }

  /**
   * Records that the connection of a run broke off before the run was answered.
   *
   * @param nowMs the current time
   * @param target the target of the run
   * @param traits the traits of the run
   * @return whether the target should be probed, because no probe is in progress
   */
  public boolean addBrokenRun(long nowMs, RoutedTarget target, RequestTraits traits) {
    Pending known = pending.get(target.id());
    if (known != null && known.target.isSameIncarnation(target)) {
      boolean probeEnded = known.reached;
      known.runs.add(traits);
      known.reached = false;
      return probeEnded;
    }
    if (known == null && pending.size() >= MAX_PENDING) {
      return false;
    }
    Pending added = new Pending(target, nowMs);
    added.runs.add(traits);
    pending.put(target.id(), added);
    return true;
  }

  /**
   * Records that nothing listens at the address of a target any more.
   *
   * @param targetId the identity of the target
   * @return the report of its crash; empty if no run broke off there
   */
  public Optional<CrashReport> onNobodyThere(String targetId) {
    return confirm(pending.get(targetId));
  }

  /**
   * Records that the entry of a target was removed although the target had not announced to leave.
   *
   * @param targetId the identity of the target
   * @return the report of its crash; empty if no run broke off there, or it accepted a connection
   *     afterwards
   */
  public Optional<CrashReport> onRemoved(String targetId) {
    return Optional.ofNullable(pending.get(targetId))
        .filter(found -> !found.reached)
        .flatMap(this::confirm);
  }

  /**
   * Records the incarnation that a target has now.
   *
   * @param target the target
   * @return the report of the crash of its previous incarnation; empty if no run broke off there
   */
  public Optional<CrashReport> onListed(RoutedTarget target) {
    return Optional.ofNullable(pending.get(target.id()))
        .filter(found -> found.target.incarnation() < target.incarnation())
        .flatMap(this::confirm);
  }

  /**
   * Records that a target accepted a connection after runs had broken off there. Only a new
   * incarnation shows then that it has crashed.
   *
   * @param targetId the identity of the target
   */
  public void onReached(String targetId) {
    Optional.ofNullable(pending.get(targetId)).ifPresent(found -> found.reached = true);
  }

  /**
   * Records that another daemon reports the crash of a target.
   *
   * @param report the report
   * @return the report of this daemon on the same crash; empty if no run broke off there
   */
  public Optional<CrashReport> onReported(CrashReport report) {
    return Optional.ofNullable(pending.get(report.targetId()))
        .filter(found -> found.target.incarnation() == report.incarnation())
        .flatMap(this::confirm);
  }

  /**
   * Discards the runs on targets of which nothing was learned in time.
   *
   * @param nowMs the current time
   */
  public void expire(long nowMs) {
    pending.values().removeIf(one -> nowMs - one.brokeAtMs > CONFIRMATION_MS);
  }

  private Optional<CrashReport> confirm(Pending found) {
    if (found == null) {
      return Optional.empty();
    }
    RoutedTarget target = found.target;
    pending.remove(target.id());
    return Optional.of(
        new CrashReport(
            target.id(),
            target.incarnation(),
            target.service(),
            daemonId,
            found.brokeAtMs,
            found.runs));
  }

  private static final class Pending {

    private final RoutedTarget target;
    private final long brokeAtMs;
    private final List<RequestTraits> runs = new ArrayList<>();
    private boolean reached;

    private Pending(RoutedTarget target, long brokeAtMs) {
      this.target = target;
      this.brokeAtMs = brokeAtMs;
    }
  }
}
