package org.sequoiareach.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.model.Check;

/** Generates request IDs that are unique across daemons and across their restarts. Thread-safe. */
public final class RequestIdGenerator {

  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param daemonId the ID of this daemon
   * @param incarnation a number that is different for every start of this daemon
   */
  public RequestIdGenerator(String daemonId, long incarnation) {
    this.prefix = Check.hasText(daemonId, "daemonId") + "-" + Long.toString(incarnation, 36) + "-";
  }

  /**
   * Returns a new request ID.
   *
   * @return the ID
   */
  public String next() {
    return prefix + Long.toString(counter.incrementAndGet(), 36);
  }
}
