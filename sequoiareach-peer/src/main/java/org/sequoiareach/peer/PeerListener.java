package org.sequoiareach.peer;

/**
 * Receives what peers send.
 *
 * <p>Called on traffic threads, several at once for different peers. Implementations must return at
 * once and must not call the transport before they have returned from {@link #onPeerLost}.
 */
public interface PeerListener {

  /**
   * A message was received. Messages of one peer arrive in the order in which they were sent.
   *
   * @param fromDaemon the daemon that sent it
   * @param message the message
   */
  void onMessage(String fromDaemon, PeerMessage message);

  /**
   * The connection with a peer was lost, or replaced by one that a restarted peer has opened. Every
   * attempt opened over it before, in either direction, is cut; what was sent afterwards goes over
   * a new connection. Not called for a connection without open attempts, which closes when idle.
   *
   * @param daemonId the peer
   */
  void onPeerLost(String daemonId);
}
