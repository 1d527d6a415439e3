package org.sequoiareach.load.report;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sequoiareach.load.check.ConsistencyChecker;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.check.TargetObservations.GenerationCounts;
import org.sequoiareach.load.check.Violation;
import org.sequoiareach.load.run.RunOutcome;

/**
 * The report of a load run.
 *
 * @param name the name of the run
 * @param seed the random seed of the trace
 * @param loadFactor the multiplier of the arrival rate
 * @param stallThresholdMs the gap between tokens in milliseconds above which a stream counts as
 *     stalled
 * @param offered the number of requests scheduled after the warm-up
 * @param unended the number of offered requests still in progress at the end of the run
 * @param elapsedMs the time from the start of the run to the end of its last request, in
 *     milliseconds
 * @param latestSendMs the largest delay of a send past its scheduled time, in milliseconds
 * @param total all requests after the warm-up; the other sections exclude the warm-up too
 * @param classes the requests by class
 * @param organisations the requests by organisation
 * @param recordsCompared whether the records of the targets were checked
 * @param missingRecords the addresses of targets whose record could not be fetched
 * @param violations the violated guarantees, including those during the warm-up
 */
public record RunReport(
    String name,
    long seed,
    double loadFactor,
    long stallThresholdMs,
    int offered,
    int unended,
    double elapsedMs,
    double latestSendMs,
    Section total,
    Map<String, Section> classes,
    Map<String, Section> organisations,
    boolean recordsCompared,
    List<String> missingRecords,
    List<Violation> violations) {

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Creates the report of a run.
   *
   * @param outcome the outcome of the run
   * @return the report
   */
  public static RunReport of(RunOutcome outcome) {
    Map<String, Section> total = sections(outcome, result -> "");
    return new RunReport(
        outcome.settings().name(),
        outcome.settings().seed(),
        outcome.settings().loadFactor(),
        outcome.settings().stallThresholdMs(),
        outcome.offered(),
        outcome.offered() - outcome.measured().size(),
        outcome.elapsedNs() / NANOS_PER_MILLI,
        outcome.latestSendNs() / NANOS_PER_MILLI,
        total.getOrDefault("", new SectionBuilder(0).build(1)),
        sections(outcome, result -> result.arrival().requestClass().name()),
        sections(outcome, result -> result.arrival().organisation().name()),
        outcome.targets().isPresent(),
        outcome.targets().map(TargetObservations::missing).orElse(List.of()),
        ConsistencyChecker.findViolations(outcome.results(), outcome.targets()));
  }

  private static Map<String, Section> sections(
      RunOutcome outcome, Function<RequestResult, String> key) {
    long thresholdNs = TimeUnit.MILLISECONDS.toNanos(outcome.settings().stallThresholdMs());
    Map<String, SectionBuilder> builders = new HashMap<>();
    for (RequestResult result : outcome.measured()) {
      builders
          .computeIfAbsent(key.apply(result), name -> new SectionBuilder(thresholdNs))
          .add(result, findGenerations(result, outcome));
    }
    long warmUpNs = TimeUnit.MILLISECONDS.toNanos(outcome.settings().warmUpMs());
    long measuredNs = outcome.elapsedNs() - warmUpNs;
    Map<String, Section> sections = new TreeMap<>();
    builders.forEach((name, builder) -> sections.put(name, builder.build(measuredNs)));
    return sections;
  }

  private static Optional<GenerationCounts> findGenerations(
      RequestResult result, RunOutcome outcome) {
    return outcome.targets().map(targets -> targets.generations().get(result.requestId()));
  }
}
