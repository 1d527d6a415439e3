package org.sequoiareach.model.quarantine;

import java.util.List;
import java.util.stream.Stream;
import org.sequoiareach.model.Check;

/**
 * What one daemon knows of the crash of a target. Immutable.
 *
 * @param targetId the identity of the target
 * @param incarnation the incarnation that crashed
 * @param service the service of the target
 * @param daemonId the daemon whose requests the target was about to answer
 * @param atMs when the connections to the target broke off, in milliseconds of the local monotonic
 *     clock
 * @param runs the traits of these requests
 */
public record CrashReport(
    String targetId,
    long incarnation,
    String service,
    String daemonId,
    long atMs,
    List<RequestTraits> runs) {

  /** The requests of one report; a target is rarely about to answer more. */
  public static final int MAX_RUNS = 8;

  /** Validates the components and keeps the first {@value #MAX_RUNS} distinct requests. */
  public CrashReport {
    Check.hasText(targetId, "targetId");
    Check.hasText(service, "service");
    Check.hasText(daemonId, "daemonId");
    runs = runs.stream().distinct().limit(MAX_RUNS).toList();
  }

  /**
   * Combines this report with another one of the same daemon on the same crash.
   *
   * @param other the other report
   * @return a report with the requests of both
   */
  public CrashReport mergedWith(CrashReport other) {
    return new CrashReport(
        targetId,
        incarnation,
        service,
        daemonId,
        Math.min(atMs, other.atMs),
        Stream.concat(runs.stream(), other.runs.stream()).toList());
  }
}
