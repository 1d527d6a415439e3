package org.sequoiareach.daemon.control;

import org.sequoiareach.decision.event.Event;

/** Accepts events for the reducer. Thread-safe. */
@FunctionalInterface
public interface EventSink {

  /**
   * Posts an event. Events are applied asynchronously, in the order in which they were posted.
   *
   * @param event the event
   */
  void post(Event event);
}
