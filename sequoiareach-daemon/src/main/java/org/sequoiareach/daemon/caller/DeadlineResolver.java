package org.sequoiareach.daemon.caller;

import org.sequoiareach.model.request.Reason;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.http.server.HttpServerRequest;

/** Resolves when a request's final answer is due, from its header and the daemon's limit. */
final class DeadlineResolver {

  static final String HEADER = "Sequoiareach-Timeout-Ms";

  private final long longestMs;

  DeadlineResolver(long longestMs) {
    this.longestMs = longestMs;
  }

  long resolve(HttpServerRequest request) {
    String text = request.requestHeaders().get(HEADER);
    long nowMs = MonotonicClock.nowMs();
    if (text == null) {
      return nowMs + longestMs;
    }
    return nowMs + Math.min(longestMs, parse(text));
  }

  private static long parse(String text) {
    try {
      long timeoutMs = Long.parseLong(text.trim());
      if (timeoutMs > 0) {
        return timeoutMs;
      }
    } catch (NumberFormatException e) {
      // Refused below, with the same words as a number out of range.
    }
    String message = "'" + HEADER + "' is " + text + " and must be a whole number above 0";
    throw Refusals.of(Reason.BAD_REQUEST, message);
  }
}
