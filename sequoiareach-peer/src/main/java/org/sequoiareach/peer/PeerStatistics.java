package org.sequoiareach.peer;

/**
 * Counters of a {@link PeerTransport}.
 *
 * @param connections connections that are established now
 * @param sentBytes bytes written since the transport started, including length fields
 * @param receivedBytes bytes received since the transport started, including length fields
 * @param bufferedBytes bytes of messages that are buffered in this daemon now
 */
public record PeerStatistics(
    int connections, long sentBytes, long receivedBytes, long bufferedBytes) {}
