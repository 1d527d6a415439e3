package org.sequoiareach.decision.membership;

/**
 * Holds a probe that is not answered yet.
 *
 * @param sequence its number
 * @param daemonId the member probed
 * @param sentMs when it was sent
 * @param indirectAtMs when others are asked to probe the member; {@link #ASKED} once they were
 * @param suspectAtMs when the member is suspected
 */
record PendingProbe(
    long sequence, String daemonId, long sentMs, long indirectAtMs, long suspectAtMs) {

  /** Others were asked already. */
  static final long ASKED = Long.MAX_VALUE;

  PendingProbe withOthersAsked() {
    return new PendingProbe(sequence, daemonId, sentMs, ASKED, suspectAtMs);
  }
}
