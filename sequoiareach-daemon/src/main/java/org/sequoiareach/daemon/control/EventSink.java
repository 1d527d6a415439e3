package org.sequoiareach.daemon.control;

import org.sequoiareach.decision.event.Event;

/** Takes events for the reducer. Thread-safe. */
@FunctionalInterface
public interface EventSink {

  /**
   * Posts an event. It is applied later, in the order of posting.
   *
   * @param event the event
   */
  void post(Event event);
}
