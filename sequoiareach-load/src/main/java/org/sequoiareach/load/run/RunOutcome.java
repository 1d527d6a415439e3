package org.sequoiareach.load.run;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.trace.Arrival;

/**
 * Holds everything that one run brought.
 *
 * @param settings the settings it ran with
 * @param offered the requests of the trace after the warm-up
 * @param results what the caller of each request saw, in the order of the trace; requests that had
 *     not ended when the run did are missing
 * @param targets what the targets saw; empty where none was to be compared
 * @param elapsedNs from the start of the run to the end of its last request
 * @param latestSendNs by how much the latest request left after its scheduled time
 */
public record RunOutcome(
    RunSettings settings,
    int offered,
    List<RequestResult> results,
    Optional<TargetObservations> targets,
    long elapsedNs,
    long latestSendNs) {

  /** Copies the parts. */
  public RunOutcome {
    results = List.copyOf(results);
  }

  /**
   * Returns what the callers saw of the requests that are measured.
   *
   * @return the results of the requests after the warm-up
   */
  public List<RequestResult> measured() {
    return results.stream().filter(result -> isMeasured(result.arrival(), settings)).toList();
  }

  static boolean isMeasured(Arrival arrival, RunSettings settings) {
    return arrival.atNs() >= TimeUnit.MILLISECONDS.toNanos(settings.warmUpMs());
  }
}
