package org.sequoiareach.peer;

/**
 * Receives messages and connection losses from a {@link PeerTransport}.
 *
 * <p>Methods are called on the transport's I/O threads, concurrently for different peers.
 * Implementations must not block, and must not call the transport from within {@link #onPeerLost}.
 */
public interface PeerListener {

  /**
   * Called for each message received. Messages of one peer arrive in the order in which they were
   * sent.
   *
   * @param fromDaemon the identity of the sender
   * @param message the message
   */
  void onMessage(String fromDaemon, PeerMessage message);

  /**
   * Called when the connection to a peer was lost, or was replaced by a new one from that peer. All
   * attempts opened over the old connection, in either direction, are aborted; messages sent
   * afterwards use a new connection. A connection that closes without open attempts, for example
   * because it is idle, is not reported.
   *
   * @param daemonId the identity of the peer
   */
  void onPeerLost(String daemonId);
}
