package org.sequoiareach.peer;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Queue of the unsent messages of one attempt's answer, with credit-based flow control. Confined to
 * the connection's thread.
 */
final class OutboundStream {

  private final int windowBytes;
  private final ArrayDeque<OutboundMessage> queued = new ArrayDeque<>();
  private long availableCredit;
  private long queuedBytes;

  /**
   * Creates a stream with full credit.
   *
   * @param windowBytes the initial and maximum credit, and the maximum number of queued bytes
   */
  OutboundStream(int windowBytes) {
    this.windowBytes = windowBytes;
    this.availableCredit = windowBytes;
  }

  /**
   * Appends a message to the queue.
   *
   * @param outbound the message
   * @return false if it is data and would exceed the window; an empty queue accepts data of any
   *     size
   */
  boolean offer(OutboundMessage outbound) {
    boolean data = outbound.message() instanceof AttemptMessage.AttemptData;
    if (data && queuedBytes > 0 && queuedBytes + outbound.payload().length > windowBytes) {
      return false;
    }
    queued.add(outbound);
    queuedBytes += outbound.payload().length;
    return true;
  }

  /**
   * Adds credit, up to the size of the window.
   *
   * @param bytes the granted payload bytes
   */
  void addCredit(int bytes) {
    availableCredit = Math.min(windowBytes, availableCredit + bytes);
  }

  /**
   * Checks whether the credit permits writing the next message.
   *
   * @return true if a message is queued and it either needs no credit or credit is left
   */
  boolean isReady() {
    OutboundMessage next = queued.peek();
    return next != null && (availableCredit > 0 || creditCost(next) == 0);
  }

  /**
   * Removes the next message and deducts its credit. The credit may become negative, so that a part
   * larger than the window can be sent too.
   *
   * @return the message
   */
  OutboundMessage take() {
    OutboundMessage next = queued.remove();
    queuedBytes -= next.payload().length;
    availableCredit -= creditCost(next);
    return next;
  }

  /**
   * Returns the total size of the queued messages.
   *
   * @return the size in bytes
   */
  long queuedBytes() {
    return queuedBytes;
  }

  /**
   * Removes all queued messages.
   *
   * @param action called with each removed message
   */
  void drain(Consumer<OutboundMessage> action) {
    while (!queued.isEmpty()) {
      action.accept(take());
    }
  }

  private static int creditCost(OutboundMessage outbound) {
    return outbound.message() instanceof AttemptMessage.AttemptData data
        ? data.payload().length
        : 0;
  }
}
