package org.sequoiareach.peer;

/**
 * Counts what a transport has done.
 *
 * @param connections connections that stand now
 * @param sentBytes bytes of frames written since the start
 * @param receivedBytes bytes of frames received since the start
 * @param heldBytes bytes of frames that wait in this daemon now
 */
public record PeerStatistics(int connections, long sentBytes, long receivedBytes, long heldBytes) {}
