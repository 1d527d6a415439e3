package org.sequoiareach.daemon.exchange;

import org.sequoiareach.daemon.upstream.ResponseFraming;

/** What the end of an event stream says of the run that produced it. */
enum StreamEnd {
  /** The run has ended. */
  COMPLETE("the stream is complete"),
  /** The stream broke off. */
  INSIDE_EVENT("the stream ended inside an event"),
  /** The stream broke off, because each run has an event and none came from this engine. */
  WITHOUT_EVENT("the stream ended with its connection before the first event"),
  /** The engine has, or may have, stopped the run on order. */
  STOPPED("the stream ended after an order to stop"),
  /** An order to stop is in progress, and its outcome will tell. */
  UNDECIDED("the stream ended with its connection during an order to stop");

  private final String description;

  StreamEnd(String description) {
    this.description = description;
  }

  /**
   * Assesses the end of a stream. An engine that carries out an order to stop ends the stream
   * between two events, which only chunks or a length distinguish from the end of the run. Once it
   * has confirmed the stop, no end of the stream is that of the run.
   *
   * @param framing how the end was marked
   * @param insideEvent whether bytes of an incomplete event precede the end
   * @param hasEvents whether an event was received from this engine
   * @param stopOrder what is known of the orders to stop the run
   */
  static StreamEnd of(
      ResponseFraming framing, boolean insideEvent, boolean hasEvents, StopOrder stopOrder) {
    if (insideEvent) {
      return INSIDE_EVENT;
    }
    boolean marked = framing != ResponseFraming.CONNECTION;
    return switch (stopOrder) {
      case NONE -> marked || hasEvents ? COMPLETE : WITHOUT_EVENT;
      case SENT -> marked ? COMPLETE : UNDECIDED;
      case MAY_BE_CARRIED_OUT -> marked ? COMPLETE : STOPPED;
      case CARRIED_OUT -> STOPPED;
    };
  }

  /** Returns a description for the log. */
  String description() {
    return description;
  }
}
