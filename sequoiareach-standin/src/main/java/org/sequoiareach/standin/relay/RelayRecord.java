package org.sequoiareach.standin.relay;

/**
 * Records the traffic of a relay.
 *
 * @param connections the number of connections accepted
 * @param openConnections the number of connections currently open
 * @param forwardBytes the number of bytes relayed to the forward address
 * @param backwardBytes the number of bytes relayed from the forward address
 */
public record RelayRecord(
    long connections, int openConnections, long forwardBytes, long backwardBytes) {}
