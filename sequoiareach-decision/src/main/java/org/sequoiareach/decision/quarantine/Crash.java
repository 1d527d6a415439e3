package org.sequoiareach.decision.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.RequestTraits;

/** The crash of one incarnation of a target, as reported by all daemons. Not thread-safe. */
final class Crash {

  private final String targetId;
  private final String service;
  private final Map<String, CrashReport> reports = new HashMap<>();
  private long atMs;

  Crash(CrashReport first) {
    this.targetId = first.targetId();
    this.service = first.service();
    this.atMs = first.atMs();
    reports.put(first.daemonId(), first);
  }

  /** Adds a report of a daemon to its earlier ones and returns whether it told anything new. */
  boolean add(CrashReport report) {
    CrashReport known = reports.get(report.daemonId());
    CrashReport merged = known == null ? report : known.mergedWith(report);
    reports.put(report.daemonId(), merged);
    atMs = Math.min(atMs, report.atMs());
    return known == null || merged.runs().size() > known.runs().size();
  }

  String targetId() {
    return targetId;
  }

  String service() {
    return service;
  }

  long atMs() {
    return atMs;
  }

  Stream<CrashReport> reports() {
    return reports.values().stream();
  }

  /** Returns the requests that the target was about to answer. */
  List<RequestTraits> runs() {
    return reports().flatMap(report -> report.runs().stream()).distinct().toList();
  }

  /** Returns whether the target was about to answer a request with all of the given traits. */
  boolean involves(RequestTraits traits) {
    return reports()
        .anyMatch(report -> report.runs().stream().anyMatch(run -> run.containsAll(traits)));
  }
}
