package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param headerBytes the maximum size of a request's header section, in bytes
 * @param bodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeoutMs the maximum time to receive the header section, in milliseconds
 * @param idleTimeoutMs the maximum idle time of a connection between requests, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits in force until a sheet is received: 16 KiB header, 4 MiB body and ten seconds. */
  public static final CallerLimits INITIAL = new CallerLimits(16 << 10, 4 << 20, 10_000, 10_000);

  /** Validates the components. */
  public CallerLimits {
    Check.inRange(headerBytes, 1, 16 << 20, "headerBytes");
    Check.inRange(bodyBytes, 0, 1 << 30, "bodyBytes");
    Check.inRange(headerTimeoutMs, 1, Integer.MAX_VALUE, "headerTimeoutMs");
    Check.inRange(idleTimeoutMs, 1, Integer.MAX_VALUE, "idleTimeoutMs");
  }
}
