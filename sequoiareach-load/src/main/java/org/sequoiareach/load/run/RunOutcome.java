package org.sequoiareach.load.run;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations;
import org.sequoiareach.load.settings.RunSettings;

/**
 * Holds everything that one run brought.
 *
 * @param settings the settings it ran with
 * @param offered the requests of the trace
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
}
