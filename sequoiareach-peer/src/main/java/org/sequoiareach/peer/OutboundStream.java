package org.sequoiareach.peer;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** Orders what one attempt's answer still has to send. Confined to the connection's thread. */
final class OutboundStream {

  private final int windowBytes;
  private final ArrayDeque<Outbound> waiting = new ArrayDeque<>();
  private long credit;
  private long waitingBytes;

  /**
   * Creates a stream with a full window.
   *
   * @param windowBytes the credit at the start and the most bytes that may wait
   */
  OutboundStream(int windowBytes) {
    this.windowBytes = windowBytes;
    this.credit = windowBytes;
  }

  /**
   * Adds a message behind those that wait.
   *
   * @param outbound the message
   * @return false if it is data and too much waits already
   */
  boolean offer(Outbound outbound) {
    boolean data = outbound.message() instanceof AttemptMessage.AttemptData;
    if (data && waitingBytes > 0 && waitingBytes + outbound.payload().length > windowBytes) {
      return false;
    }
    waiting.add(outbound);
    waitingBytes += outbound.payload().length;
    return true;
  }

  /**
   * Adds credit, never beyond the window.
   *
   * @param bytes the payload bytes granted
   */
  void grant(int bytes) {
    credit = Math.min(windowBytes, credit + bytes);
  }

  /**
   * Tells whether the next message may be written as far as credit goes.
   *
   * @return true if there is a next message and it needs no credit or there is some
   */
  boolean isReady() {
    Outbound next = waiting.peek();
    return next != null && (credit > 0 || cost(next) == 0);
  }

  /**
   * Takes the next message and spends its credit. The last part may overdraw, so that a part larger
   * than the window passes as well.
   *
   * @return the message
   */
  Outbound take() {
    Outbound next = waiting.remove();
    waitingBytes -= next.payload().length;
    credit -= cost(next);
    return next;
  }

  /**
   * Returns the bytes that wait.
   *
   * @return the sum of the waiting frames
   */
  long waitingBytes() {
    return waitingBytes;
  }

  /**
   * Gives all waiting messages away.
   *
   * @param action what to do with each
   */
  void drain(Consumer<Outbound> action) {
    while (!waiting.isEmpty()) {
      action.accept(take());
    }
  }

  private static int cost(Outbound outbound) {
    return outbound.message() instanceof AttemptMessage.AttemptData data
        ? data.payload().length
        : 0;
  }
}
