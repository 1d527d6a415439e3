package org.sequoiareach.load.run;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import org.sequoiareach.load.trace.Arrival;

/**
 * A request of the trace with its id and destination addresses.
 *
 * @param requestId the request id, used as marker and as idempotency key
 * @param arrival the scheduled request
 * @param scheduledNs the scheduled arrival on the monotonic clock in nanoseconds
 * @param callers the base addresses to use, in order of preference
 */
record OutgoingRequest(String requestId, Arrival arrival, long scheduledNs, List<String> callers) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns the client deadline on the monotonic clock in nanoseconds. */
  long deadlineNs() {
    return scheduledNs + arrival.requestClass().deadlineMs() * NANOS_PER_MILLI;
  }

  /** Returns the remaining time until the deadline, at least one millisecond. */
  Duration remainingTime() {
    return Duration.ofNanos(Math.max(NANOS_PER_MILLI, deadlineNs() - System.nanoTime()));
  }

  /** Sets the headers common to all HTTP calls of this request. */
  void setCommonHeaders(HttpHeaders headers) {
    headers.set("Authorization", "Bearer " + arrival.organisation().apiKey());
    headers.set("Sequoiareach-Timeout-Ms", Long.toString(remainingTime().toMillis()));
  }

  /** Returns the base address for an attempt, counted from 0. */
  String callerAddress(int attempt) {
    return callers.get(attempt % callers.size());
  }
}
