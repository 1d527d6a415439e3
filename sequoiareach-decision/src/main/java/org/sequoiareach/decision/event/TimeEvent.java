package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;

/** Event in the lifecycle of the daemon process. */
@JsonSubTypes({
  @JsonSubTypes.Type(TimeEvent.Ticked.class),
  @JsonSubTypes.Type(TimeEvent.DrainRequested.class)
})
public interface TimeEvent extends Event {

  /**
   * Periodic timer tick. A long gap between two ticks means that the process was paused.
   *
   * @param nowMs the time of observation
   */
  record Ticked(long nowMs) implements TimeEvent {}

  /**
   * The daemon received a stop request.
   *
   * @param nowMs the time of observation
   * @param deadlineMs the time at which requests still in progress are failed
   */
  record DrainRequested(long nowMs, long deadlineMs) implements TimeEvent {}
}
