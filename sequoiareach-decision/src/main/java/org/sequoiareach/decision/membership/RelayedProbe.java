package org.sequoiareach.decision.membership;

/**
 * A probe sent on behalf of another daemon.
 *
 * @param requester the daemon that requested the probe
 * @param requesterSequence the sequence number that the requester expects in the acknowledgement
 * @param deadlineMs when the requester no longer needs an answer, in milliseconds
 */
record RelayedProbe(String requester, long requesterSequence, long deadlineMs) {}
