package org.sequoiareach.decision.limit;

/**
 * Strategy that decides how far ahead a permit may be promised to a request. Implementations are
 * stateless.
 */
public interface PermitStrategy {

  /**
   * Returns the latest start that is accepted for a request.
   *
   * @param nowMs the current time
   * @param latestUsefulMs the latest start at which the request can still be answered in time
   * @param priority the priority of the request; 0 is the most urgent
   * @return the latest start, in milliseconds; not before now
   */
  long latestStartMs(long nowMs, long latestUsefulMs, int priority);
}
