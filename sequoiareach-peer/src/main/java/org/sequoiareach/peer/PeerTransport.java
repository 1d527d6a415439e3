package org.sequoiareach.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other daemons over one connection for each pair. Thread-safe.
 *
 * <p>Parts of answers ({@link AttemptMessage.AttemptData}) wait for credit that the receiver grants
 * as its caller reads; a producer must wait for the future of one part before it asks its source
 * for more. A stream that waits does not hold up any other.
 */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a message, opening a connection where there is none.
   *
   * @param daemonId the receiver
   * @param address its IP number and port
   * @param message the message
   * @return completed when the message was written to the connection; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}, whose verdict is not-run where no
   *     byte of it was handed to a connection and may-have-run otherwise
   */
  CompletableFuture<Void> send(String daemonId, String address, PeerMessage message);

  /**
   * Returns where peers are taken.
   *
   * @return the IP number and port
   */
  String address();

  /**
   * Counts what the transport has done so far.
   *
   * @return the counts
   */
  PeerStatistics statistics();

  /** Closes all connections and stops taking peers. */
  @Override
  void close();
}
