package org.sequoiareach.load.check;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.trace.Arrival;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Verdict;

/**
 * Holds what the caller of one request saw.
 *
 * @param requestId the marker of a generation or the idempotency key of a call
 * @param arrival the request
 * @param ending how it ended
 * @param reason why it did not finish; empty where it did
 * @param verdict the system's own statement; empty where it made none
 * @param retryAfter whether a refusal said when to come back
 * @param timings when its parts came
 * @param tokens the tokens received in order
 * @param faults what was wrong with the answer
 */
public record RequestResult(
    String requestId,
    Arrival arrival,
    Ending ending,
    String reason,
    Optional<Verdict> verdict,
    boolean retryAfter,
    Timings timings,
    int tokens,
    List<Fault> faults) {

  /** Checks and copies the parts. */
  public RequestResult {
    Check.hasText(requestId, "requestId");
    Check.notNull(arrival, "arrival");
    Check.notNull(ending, "ending");
    Check.notNull(reason, "reason");
    Check.notNull(verdict, "verdict");
    Check.notNull(timings, "timings");
    faults = List.copyOf(faults);
  }
}
