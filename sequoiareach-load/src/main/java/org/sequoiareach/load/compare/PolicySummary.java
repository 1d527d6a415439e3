package org.sequoiareach.load.compare;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.report.Section;

/**
 * Summary over all seeds of a policy at one load factor.
 *
 * @param policy the name of the policy
 * @param loadFactor the multiplier of the arrival rate
 * @param seeds the number of runs
 * @param offered the number of requests offered over all seeds
 * @param finished the number of requests finished over all seeds
 * @param refused the number of requests refused over all seeds
 * @param failed the number of requests failed over all seeds
 * @param stallSeconds the stall time over all seeds in seconds
 * @param stallMsPerFinished the mean over seeds of the stall time per finished answer in
 *     milliseconds
 * @param preemptions the number of preemptions over all seeds
 * @param gapP50Ms the mean over seeds of the median gap between tokens
 * @param gapP99Ms the mean over seeds of the 99th percentile of the gap between tokens
 * @param gapP99LeastMs the minimum of that percentile over seeds
 * @param gapP99MostMs the maximum of that percentile over seeds
 * @param gapP999Ms the mean over seeds of the 99.9th percentile of the gap between tokens
 * @param firstTokenP50Ms the mean over seeds of the median time to the first token
 * @param firstTokenP99Ms the mean over seeds of the 99th percentile of the time to the first token
 * @param tokensPerSecond the mean over seeds of the tokens received per second
 * @param violations the number of violated guarantees over all seeds
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
        mean(runs, section -> section.tokenGap().p50Ms()),
        mean(runs, section -> section.tokenGap().p99Ms()),
        runs.stream().mapToDouble(run -> run.total().tokenGap().p99Ms()).min().orElse(0),
        runs.stream().mapToDouble(run -> run.total().tokenGap().p99Ms()).max().orElse(0),
        mean(runs, section -> section.tokenGap().p999Ms()),
        mean(runs, section -> section.firstToken().p50Ms()),
        mean(runs, section -> section.firstToken().p99Ms()),
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
