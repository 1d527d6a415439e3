package org.sequoiareach.daemon.caller;

import org.sequoiareach.model.request.Reason;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Computes the deadline of a request from its timeout header, capped by the daemon's maximum
 * timeout.
 */
final class DeadlineResolver {

  static final String HEADER = "Sequoiareach-Timeout-Ms";

  private final long maxTimeoutMs;

  DeadlineResolver(long maxTimeoutMs) {
    this.maxTimeoutMs = maxTimeoutMs;
  }

  /** Returns the deadline of a request, in milliseconds of the monotonic clock. */
  long resolve(HttpServerRequest request) {
    String text = request.requestHeaders().get(HEADER);
    long nowMs = MonotonicClock.nowMs();
    if (text == null) {
      return nowMs + maxTimeoutMs;
    }
    return nowMs + Math.min(maxTimeoutMs, parse(text));
  }

  private static long parse(String text) {
    try {
      long timeoutMs = Long.parseLong(text.trim());
      if (timeoutMs > 0) {
        return timeoutMs;
      }
    } catch (NumberFormatException e) {
      // Rejected below with the same message as a number out of range.
    }
    String message =
        "'" + HEADER + "' is '" + text + "' and must be a positive integer, in milliseconds";
    throw Refusals.of(Reason.BAD_REQUEST, message);
  }
}
