package org.sequoiareach.decision.event;

import com.fasterxml.jackson.annotation.JsonSubTypes;

/** Is an event of the daemon's own life. */
@JsonSubTypes({
  @JsonSubTypes.Type(TimeEvent.Ticked.class),
  @JsonSubTypes.Type(TimeEvent.DrainRequested.class)
})
public interface TimeEvent extends Event {

  /**
   * Time has passed. Sent at a steady period; a long gap between two ticks means that the process
   * was paused.
   *
   * @param nowMs when it was observed
   */
  record Ticked(long nowMs) implements TimeEvent {}

  /**
   * The daemon was told to stop.
   *
   * @param nowMs when it was observed
   * @param deadlineMs when requests still in progress are given up
   */
  record DrainRequested(long nowMs, long deadlineMs) implements TimeEvent {}
}
