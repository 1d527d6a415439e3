package org.sequoiareach.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.model.Check;

/** Gives identities to requests, unique over all daemons and over restarts of each. Thread-safe. */
public final class RequestIds {

  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  /**
   * Creates a source of identities.
   *
   * @param daemonId the identity of this daemon
   * @param incarnation a number that differs from that of any other start of this daemon
   */
  public RequestIds(String daemonId, long incarnation) {
    this.prefix = Check.hasText(daemonId, "daemonId") + "-" + Long.toString(incarnation, 36) + "-";
  }

  /**
   * Returns a new identity.
   *
   * @return the identity
   */
  public String next() {
    return prefix + Long.toString(next.incrementAndGet(), 36);
  }
}
