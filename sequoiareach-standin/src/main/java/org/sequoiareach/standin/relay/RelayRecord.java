package org.sequoiareach.standin.relay;

/**
 * Says what a relay passed on.
 *
 * @param connections the connections taken
 * @param openConnections the connections open now
 * @param forwardBytes the bytes passed on to the forward address
 * @param backwardBytes the bytes passed back from it
 */
public record RelayRecord(
    long connections, int openConnections, long forwardBytes, long backwardBytes) {}
