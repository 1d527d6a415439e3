package org.sequoiareach.decision.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.sequoiareach.model.quarantine.CrashReport;

/**
 * The recent crashes of targets, as reported by all daemons. Holds what targets were about to
 * answer, not what callers send, so that its size does not grow with requests. Not thread-safe:
 * confined to the control thread.
 */
public final class CrashHistory {

  static final int MAX_CRASHES = 32;

  /** How long a crash is remembered as evidence. */
  static final long RETENTION_MS = 120_000;

  /**
   * Crashes within this time may have one cause that lies outside of the requests, such as a loss
   * of power, and count as one.
   */
  static final long SAME_MOMENT_MS = 100;

  private final Map<String, Crash> crashes = new LinkedHashMap<>();
  private long version;

  /**
   * Adds a report.
   *
   * @param report the report
   * @return whether it told anything new
   */
  public boolean add(CrashReport report) {
    String key = report.targetId() + "/" + report.incarnation();
    Crash known = crashes.get(key);
    if (known != null) {
      boolean added = known.add(report);
      version += added ? 1 : 0;
      return added;
    }
    version++;
    if (crashes.size() >= MAX_CRASHES) {
      crashes.remove(crashes.keySet().iterator().next());
    }
    crashes.put(key, new Crash(report));
    return true;
  }

  /**
   * Returns whether no crash is remembered.
   *
   * @return true if there is none
   */
  public boolean isEmpty() {
    return crashes.isEmpty();
  }

  /**
   * Returns a number that grows with each report that told anything new.
   *
   * @return the number
   */
  public long version() {
    return version;
  }

  /**
   * Returns all reports on the remembered crashes.
   *
   * @return the reports
   */
  public List<CrashReport> reports() {
    return all().flatMap(Crash::reports).toList();
  }

  /**
   * Discards old crashes.
   *
   * @param nowMs the current time
   */
  public void expire(long nowMs) {
    crashes.values().removeIf(crash -> nowMs - crash.atMs() > RETENTION_MS);
  }

  Stream<Crash> all() {
    return crashes.values().stream();
  }

  /** Counts the moments at which crashes happened. */
  static int countMoments(Stream<Crash> crashes) {
    int moments = 0;
    long untilMs = Long.MIN_VALUE;
    for (long atMs : crashes.mapToLong(Crash::atMs).sorted().toArray()) {
      if (atMs >= untilMs) {
        moments++;
        untilMs = atMs + SAME_MOMENT_MS;
      }
    }
    return moments;
  }
}
