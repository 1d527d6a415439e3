package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Is something that happened, told to the reducer.
 *
 * <p>Every event carries the time at which it was observed, in milliseconds of the observer's
 * monotonic clock. Times never fall from one event to the next.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public interface Event {

  /**
   * Returns when the event was observed.
   *
   * @return milliseconds of the monotonic clock of this daemon
   */
  long nowMs();
}
