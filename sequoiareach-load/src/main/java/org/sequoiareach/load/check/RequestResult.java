package org.sequoiareach.load.check;

import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.trace.Arrival;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Verdict;

/**
 * The result of a request as observed by its client.
 *
 * @param requestId the marker of a generation, or the idempotency key of a service call
 * @param arrival the scheduled request
 * @param ending how the request ended
 * @param reason why the request did not finish; empty if it did
 * @param verdict the execution verdict that the system reported; empty if absent
 * @param retryAfter whether the error response carried a {@code Retry-After} header
 * @param timings the timings of the response
 * @param tokens the number of tokens received in order
 * @param faults the faults found in the response
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

  /** Validates and copies the components. */
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
