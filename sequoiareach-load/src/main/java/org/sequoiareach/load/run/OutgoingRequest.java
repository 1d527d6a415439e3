package org.sequoiareach.load.run;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import org.sequoiareach.load.trace.Arrival;

/**
 * Holds a request that is about to leave.
 *
 * @param requestId its marker or idempotency key
 * @param arrival its place in the trace
 * @param scheduledNs its scheduled arrival on the monotonic clock
 * @param callers the addresses that it may use, its own first
 */
record OutgoingRequest(String requestId, Arrival arrival, long scheduledNs, List<String> callers) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns the moment at which its caller gives up, on the monotonic clock. */
  long deadlineNs() {
    return scheduledNs + arrival.requestClass().deadlineMs() * NANOS_PER_MILLI;
  }

  /** Returns the time left until the deadline, at least one millisecond. */
  Duration timeLeft() {
    return Duration.ofNanos(Math.max(NANOS_PER_MILLI, deadlineNs() - System.nanoTime()));
  }

  /** Sets the headers that every call of a request carries. */
  void setCommonHeaders(HttpHeaders headers) {
    headers.set("Authorization", "Bearer " + arrival.organisation().apiKey());
    headers.set("Sequoiareach-Timeout-Ms", Long.toString(timeLeft().toMillis()));
  }

  String caller(int attempt) {
    return callers.get(attempt % callers.size());
  }
}
