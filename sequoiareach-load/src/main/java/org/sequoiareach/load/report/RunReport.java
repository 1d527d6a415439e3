package org.sequoiareach.load.report;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sequoiareach.load.check.RecordComparison;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.check.TargetObservations.GenerationSeen;
import org.sequoiareach.load.check.Violation;
import org.sequoiareach.load.run.RunOutcome;

/**
 * Sums up one run.
 *
 * @param name the name of the settings
 * @param seed the seed of the trace
 * @param loadFactor the factor on the rate of arrivals
 * @param stallThresholdMs the gap between tokens beyond which a stream counts as stalled
 * @param offered the requests of the trace after the warm-up
 * @param unended those that had not ended when the run did
 * @param elapsedMs from the start of the run to the end of its last request
 * @param latestSendMs by how much the latest request left after its scheduled time
 * @param total all requests after the warm-up, which the other sections leave out as well
 * @param classes the requests by class
 * @param organisations the requests by organisation
 * @param recordsCompared whether targets' records were compared
 * @param missingRecords the targets whose record could not be had
 * @param violations the promises broken, in the warm-up as well
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
   * Sums up a run.
   *
   * @param outcome what the run brought
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
        RecordComparison.findViolations(outcome.results(), outcome.targets()));
  }

  private static Map<String, Section> sections(
      RunOutcome outcome, Function<RequestResult, String> key) {
    long thresholdNs = TimeUnit.MILLISECONDS.toNanos(outcome.settings().stallThresholdMs());
    Map<String, SectionBuilder> builders = new HashMap<>();
    for (RequestResult result : outcome.measured()) {
      builders
          .computeIfAbsent(key.apply(result), name -> new SectionBuilder(thresholdNs))
          .add(result, generationOf(result, outcome));
    }
    long warmUpNs = TimeUnit.MILLISECONDS.toNanos(outcome.settings().warmUpMs());
    long measuredNs = outcome.elapsedNs() - warmUpNs;
    Map<String, Section> sections = new TreeMap<>();
    builders.forEach((name, builder) -> sections.put(name, builder.build(measuredNs)));
    return sections;
  }

  private static Optional<GenerationSeen> generationOf(RequestResult result, RunOutcome outcome) {
    return outcome.targets().map(targets -> targets.generations().get(result.requestId()));
  }
}
