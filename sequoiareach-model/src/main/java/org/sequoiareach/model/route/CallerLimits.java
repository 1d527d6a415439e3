package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Bounds what callers may send and how long they may take.
 *
 * @param headerBytes the longest head of a request
 * @param bodyBytes the longest body of a request
 * @param headerTimeoutMs the longest time to send a head, in milliseconds
 * @param idleTimeoutMs the longest time between requests of a connection, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** The limits in force before a sheet is known: small heads and bodies, and ten seconds. */
  public static final CallerLimits INITIAL = new CallerLimits(16 << 10, 4 << 20, 10_000, 10_000);

  /** Checks the parts. */
  public CallerLimits {
    Check.inRange(headerBytes, 1, 16 << 20, "headerBytes");
    Check.inRange(bodyBytes, 0, 1 << 30, "bodyBytes");
    Check.inRange(headerTimeoutMs, 1, Integer.MAX_VALUE, "headerTimeoutMs");
    Check.inRange(idleTimeoutMs, 1, Integer.MAX_VALUE, "idleTimeoutMs");
  }
}
