package org.sequoiareach.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other daemons over one connection per pair. Thread-safe.
 *
 * <p>Flow control is credit-based: parts of answers ({@link AttemptMessage.AttemptData}) wait until
 * the receiver grants credit, which it does as its caller reads. A producer must wait for the
 * future of one part before it requests more from its source. A stream without credit does not
 * block other streams.
 */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a message, opening a connection if necessary.
   *
   * @param daemonId the identity of the receiver
   * @param address the IP address and port of the receiver
   * @param message the message
   * @return a future that completes when the message was written to the connection; fails with
   *     {@link org.sequoiareach.model.request.RequestFailedException}, whose verdict is not-run if
   *     no byte of the message was handed to a connection and may-have-run otherwise
   */
  CompletableFuture<Void> send(String daemonId, String address, PeerMessage message);

  /**
   * Returns the address on which the transport accepts connections of peers.
   *
   * @return the IP address and port
   */
  String address();

  /**
   * Returns the current connection and traffic counters.
   *
   * @return a snapshot of the counters
   */
  PeerStatistics statistics();

  /** Closes all connections and stops accepting new ones. */
  @Override
  void close();
}
