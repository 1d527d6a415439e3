package org.sequoiareach.decision.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.TargetOutcomes;

/**
 * Tracks the outcomes of attempts within the last {@value #WINDOW_MS} ms: those of this daemon and
 * those that other daemons report. Not thread-safe: confined to the control thread.
 */
public final class OutcomeTracker {

  /** Long enough for a fleet to see several attempts at each target, short enough to forget. */
  static final long WINDOW_MS = 4_000;

  private static final long BUCKET_MS = 500;

  /** Three times the longest interval between two reports, so that one report may be lost. */
  private static final long REPORT_TTL_MS = 3_000;

  private final Map<String, Deque<Bucket>> local = new HashMap<>();
  private final Map<String, PeerReport> peers = new HashMap<>();

  /**
   * Records the outcome of an attempt of this daemon.
   *
   * @param nowMs the current time
   * @param targetId the target
   * @param success whether the attempt succeeded
   */
  public void record(long nowMs, String targetId, boolean success) {
    Check.hasText(targetId, "targetId");
    Deque<Bucket> buckets = local.computeIfAbsent(targetId, id -> new ArrayDeque<>());
    expire(nowMs, buckets);
    long startMs = nowMs - nowMs % BUCKET_MS;
    Bucket latest = buckets.peekLast();
    if (latest == null || latest.startMs != startMs) {
      latest = new Bucket(startMs);
      buckets.addLast(latest);
    }
    TargetOutcomes one = success ? new TargetOutcomes(1, 0) : new TargetOutcomes(0, 1);
    latest.outcomes = latest.outcomes.plus(one);
  }

  /**
   * Replaces the outcomes that another daemon reports.
   *
   * @param nowMs the current time
   * @param daemonId the identifier of the daemon
   * @param outcomes its recent outcomes by target
   * @return the targets for which it reports more failures than before
   */
  public Iterable<String> updatePeer(
      long nowMs, String daemonId, Map<String, TargetOutcomes> outcomes) {
    PeerReport previous = peers.put(daemonId, new PeerReport(nowMs, Map.copyOf(outcomes)));
    Map<String, TargetOutcomes> before = previous == null ? Map.of() : previous.outcomes;
    return outcomes.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().failures()
                    > before.getOrDefault(entry.getKey(), TargetOutcomes.NONE).failures())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Forgets what all daemons but one have reported.
   *
   * @param daemonId the identifier of the daemon
   */
  public void retainPeer(String daemonId) {
    peers.keySet().removeIf(id -> !id.equals(daemonId));
  }

  /**
   * Adds up the recent outcomes of the targets that failed, of this daemon and a part of the
   * others.
   *
   * @param nowMs the current time
   * @param included selects the daemons whose reports are included
   * @return the outcomes by target
   */
  public Map<String, TargetOutcomes> sumOfFailing(long nowMs, Predicate<String> included) {
    Map<String, TargetOutcomes> sum = localFailing(nowMs);
    peers.forEach(
        (daemonId, report) -> {
          if (included.test(daemonId) && nowMs - report.receivedAtMs <= REPORT_TTL_MS) {
            report.outcomes.forEach(
                (targetId, outcomes) -> sum.merge(targetId, outcomes, TargetOutcomes::plus));
          }
        });
    return sum;
  }

  /**
   * Returns the recent outcomes of a target, as seen by all daemons.
   *
   * @param nowMs the current time
   * @param targetId the target
   * @return the sum of this daemon's and the reported outcomes
   */
  public TargetOutcomes totalOf(long nowMs, String targetId) {
    TargetOutcomes total = localOf(nowMs, targetId);
    for (PeerReport report : peers.values()) {
      if (nowMs - report.receivedAtMs <= REPORT_TTL_MS) {
        total = total.plus(report.outcomes.getOrDefault(targetId, TargetOutcomes.NONE));
      }
    }
    return total;
  }

  /**
   * Returns this daemon's recent outcomes of the targets that failed, to be told to other daemons.
   *
   * @param nowMs the current time
   * @return the outcomes by target
   */
  public Map<String, TargetOutcomes> localFailing(long nowMs) {
    Map<String, TargetOutcomes> failing = new TreeMap<>();
    for (String targetId : local.keySet()) {
      TargetOutcomes outcomes = localOf(nowMs, targetId);
      if (outcomes.failures() > 0) {
        failing.put(targetId, outcomes);
      }
    }
    return failing;
  }

  /**
   * Discards the outcomes of targets that are not retained.
   *
   * @param listed selects the targets to retain
   */
  public void retain(Predicate<String> listed) {
    local.keySet().removeIf(listed.negate());
  }

  private TargetOutcomes localOf(long nowMs, String targetId) {
    Deque<Bucket> buckets = local.get(targetId);
    if (buckets == null) {
      return TargetOutcomes.NONE;
    }
    expire(nowMs, buckets);
    return buckets.stream()
        .map(bucket -> bucket.outcomes)
        .reduce(TargetOutcomes.NONE, TargetOutcomes::plus);
  }

  private static void expire(long nowMs, Deque<Bucket> buckets) {
    while (!buckets.isEmpty() && nowMs - buckets.peekFirst().startMs > WINDOW_MS) {
      buckets.removeFirst();
    }
  }

  private static final class Bucket {
    private final long startMs;
    private TargetOutcomes outcomes = TargetOutcomes.NONE;

    private Bucket(long startMs) {
      this.startMs = startMs;
    }
  }

  private record PeerReport(long receivedAtMs, Map<String, TargetOutcomes> outcomes) {}
}
