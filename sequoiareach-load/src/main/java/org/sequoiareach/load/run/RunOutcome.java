package org.sequoiareach.load.run;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.trace.Arrival;

/**
 * The raw outcome of a load run.
 *
 * @param settings the settings of the run
 * @param offered the number of requests scheduled after the warm-up
 * @param results the results in trace order; requests still in progress at the end of the run are
 *     missing
 * @param targets the records of the targets; empty if no targets are checked
 * @param elapsedNs the time from the start of the run to the end of its last request in nanoseconds
 * @param latestSendNs the largest delay of a send past its scheduled time in nanoseconds
 */
public record RunOutcome(
    RunSettings settings,
    int offered,
    List<RequestResult> results,
    Optional<TargetObservations> targets,
    long elapsedNs,
    long latestSendNs) {

  /** Copies the components. */
  public RunOutcome {
    results = List.copyOf(results);
  }

  /**
   * Returns the results of the measured requests.
   *
   * @return the results of requests scheduled after the warm-up
   */
  public List<RequestResult> measured() {
    return results.stream().filter(result -> isMeasured(result.arrival(), settings)).toList();
  }

  static boolean isMeasured(Arrival arrival, RunSettings settings) {
    return arrival.atNs() >= TimeUnit.MILLISECONDS.toNanos(settings.warmUpMs());
  }
}
