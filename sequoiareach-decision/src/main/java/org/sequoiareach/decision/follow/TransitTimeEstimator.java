package org.sequoiareach.decision.follow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Estimates how much longer a message was in transit than the fastest one of its sender, without
 * synchronized clocks. A message that waited in a connection or in a frozen process would otherwise
 * seem younger than it is. Not thread-safe.
 */
public final class TransitTimeEstimator {

  private final Map<String, Long> minOffsetMs = new HashMap<>();

  /**
   * Returns the excess transit time of a message.
   *
   * @param senderId the identity of the sender and of its incarnation
   * @param sentMs when it was sent, in milliseconds of the sender's clock
   * @param receivedMs when it was received, in milliseconds of the local clock
   * @return the time in milliseconds; 0 for the first message of a sender
   */
  public long excessMs(String senderId, long sentMs, long receivedMs) {
    long offsetMs = receivedMs - sentMs;
    return offsetMs - minOffsetMs.merge(senderId, offsetMs, Math::min);
  }

  /**
   * Forgets the senders that are no longer known.
   *
   * @param known whether a sender is known
   */
  public void retain(Predicate<String> known) {
    minOffsetMs.keySet().removeIf(known.negate());
  }
}
