package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Event that a reducer consumes; written as JSON under its simple class name.
 *
 * <p>Every event carries its time of observation in milliseconds of the observing daemon's
 * monotonic clock. Times never decrease from one event to the next.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public interface Event {

  /**
   * Returns the time of observation.
   *
   * @return the time in milliseconds of this daemon's monotonic clock
   */
  long nowMs();
}
