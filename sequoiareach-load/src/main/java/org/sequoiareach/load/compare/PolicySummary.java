package org.sequoiareach.load.compare;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.report.Section;

/**
 * Sums up all seeds of one policy at one load factor.
 *
 * @param policy the policy's name
 * @param loadFactor the load factor
 * @param seeds the number of runs
 * @param offered the requests offered, of all seeds
 * @param finished the requests finished, of all seeds
 * @param refused the requests refused, of all seeds
 * @param failed the requests that failed, of all seeds
 * @param stallSeconds the stall time of all seeds
 * @param stallMsPerFinished the mean over seeds of the stall time of a finished answer
 * @param preemptions the preemptions of all seeds
 * @param gapP50Ms the mean over seeds of the median time between tokens
 * @param gapP99Ms the mean over seeds of the 99th percentile of the time between tokens
 * @param gapP99LeastMs the least of that percentile over seeds
 * @param gapP99MostMs the greatest of that percentile over seeds
 * @param gapP999Ms the mean over seeds of the 99.9th percentile of the time between tokens
 * @param firstTokenP50Ms the mean over seeds of the median time to the first token
 * @param firstTokenP99Ms the mean over seeds of the 99th percentile of the time to the first token
 * @param tokensPerSecond the mean over seeds of the tokens received in a second
 * @param violations the promises broken, of all seeds
 */
public record PolicySummary(
    String policy,
    double loadFactor,
    int seeds,
    long offered,
    long finished,
    long refused,
    long failed,
    double stallSeconds,
    double stallMsPerFinished,
    long preemptions,
    double gapP50Ms,
    double gapP99Ms,
    double gapP99LeastMs,
    double gapP99MostMs,
    double gapP999Ms,
    double firstTokenP50Ms,
    double firstTokenP99Ms,
    double tokensPerSecond,
    long violations) {

  private static final double MILLIS_PER_SECOND = 1_000;

  static PolicySummary of(String policy, double loadFactor, List<RunReport> runs) {
    return new PolicySummary(
        policy,
        loadFactor,
        runs.size(),
        (long) sum(runs, RunReport::offered),
        (long) sum(runs, run -> run.total().finished()),
        (long) sum(runs, run -> run.total().refused()),
        (long) sum(runs, run -> run.total().failed()),
        sum(runs, run -> run.total().stallMs()) / MILLIS_PER_SECOND,
        mean(runs, Section::stallMsPerFinished),
        (long) sum(runs, run -> run.total().preemptions()),
        mean(runs, total -> total.tokenGap().p50Ms()),
        mean(runs, total -> total.tokenGap().p99Ms()),
        runs.stream().mapToDouble(run -> run.total().tokenGap().p99Ms()).min().orElse(0),
        runs.stream().mapToDouble(run -> run.total().tokenGap().p99Ms()).max().orElse(0),
        mean(runs, total -> total.tokenGap().p999Ms()),
        mean(runs, total -> total.firstToken().p50Ms()),
        mean(runs, total -> total.firstToken().p99Ms()),
        mean(runs, Section::tokensPerSecond),
        (long) sum(runs, run -> run.violations().size()));
  }

  private static double sum(List<RunReport> runs, ToDoubleFunction<RunReport> value) {
    return runs.stream().mapToDouble(value).sum();
  }

  private static double mean(List<RunReport> runs, ToDoubleFunction<Section> value) {
    return runs.stream().map(RunReport::total).mapToDouble(value).average().orElse(0);
  }
}
