package org.sequoiareach.decision.membership;

/**
 * A probe that has not been acknowledged yet. All times are in milliseconds.
 *
 * @param sequence the sequence number of the probe
 * @param daemonId the probed member
 * @param sentMs when the probe was sent
 * @param indirectAtMs when other daemons are asked to probe the member; {@link #INDIRECT_REQUESTED}
 *     once that was done
 * @param suspectAtMs when the member becomes suspect
 */
record PendingProbe(
    long sequence, String daemonId, long sentMs, long indirectAtMs, long suspectAtMs) {

  /** The value of {@link #indirectAtMs} once indirect probes were requested. */
  static final long INDIRECT_REQUESTED = Long.MAX_VALUE;

  PendingProbe withIndirectRequested() {
    return new PendingProbe(sequence, daemonId, sentMs, INDIRECT_REQUESTED, suspectAtMs);
  }
}
