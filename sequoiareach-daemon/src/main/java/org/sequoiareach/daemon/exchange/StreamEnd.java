package org.sequoiareach.daemon.exchange;

import org.sequoiareach.daemon.upstream.ResponseFraming;

/** What the end of an event stream says of the run that produced it. */
enum StreamEnd {
  /** The run has ended. */
  COMPLETE,
  /** The stream broke off. */
  INSIDE_EVENT,
  /** The engine has, or may have, stopped the run on order. */
  STOPPED,
  /** An order to stop is in progress, and its outcome will tell. */
  UNDECIDED;

  /**
   * Assesses the end of a stream. An engine that carries out an order to stop ends the stream
   * between two events, which only chunks or a length distinguish from the end of the run.
   */
  static StreamEnd of(ResponseFraming framing, boolean insideEvent, StopOrder stopOrder) {
    if (insideEvent) {
      return INSIDE_EVENT;
    }
    if (framing != ResponseFraming.CONNECTION) {
      return COMPLETE;
    }
    return switch (stopOrder) {
      case NONE -> COMPLETE;
      case SENT -> UNDECIDED;
      case MAY_BE_CARRIED_OUT -> STOPPED;
    };
  }
}
