package org.sequoiareach.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.peer.Handshake.Answer;

/**
 * Manages the single connection to a peer and resolves conflicts between connections opened by both
 * sides.
 *
 * <p>Each side numbers the connections that it opens or accepts, and sends the number in its
 * handshake. A connection that the peer opened before it accepted the existing one is a duplicate.
 * A connection that it opened later replaces the existing one, which the peer must have lost. If
 * both sides open a connection at the same time, the one opened by the daemon with the smaller
 * identity is kept. Thread-safe.
 */
final class PeerLink {

  /** How long a pending open takes precedence over a connection that the peer opens. */
  private static final long OPEN_PRECEDENCE_MS = 500;

  private final String daemonId;
  private final TransportContext context;
  private final PeerListener listener;
  private final ArrayDeque<OutboundMessage> queued = new ArrayDeque<>();
  private long queuedBytes;
  private PeerConnection current;
  private long pendingOpenNumber;
  private long pendingSinceMs;
  private boolean closed;

  /**
   * Creates the link to a peer.
   *
   * @param daemonId the identity of the peer
   * @param context the context of the transport
   * @param listener notified when the connection is lost
   */
  PeerLink(String daemonId, TransportContext context, PeerListener listener) {
    this.daemonId = daemonId;
    this.context = context;
    this.listener = listener;
  }

  /**
   * Sends a message over the existing connection, or queues it until there is one.
   *
   * @param outbound the message
   * @return the number of the connection that the caller must open, or empty if none is needed
   */
  Optional<Long> sendOrQueue(OutboundMessage outbound) {
    boolean rejected = false;
    synchronized (this) {
      if (current != null && !closed) {
        current.enqueue(outbound);
        return Optional.empty();
      }
      int size = outbound.payload().length;
      rejected = closed || queuedBytes + size > context.limits().outboundBytes();
      if (!rejected) {
        queued.add(outbound);
        queuedBytes += size;
        context.addBuffered(size);
        return pendingOpenNumber == 0 ? Optional.of(beginOpen()) : Optional.empty();
      }
    }
    int limit = context.limits().outboundBytes();
    outbound.failNotRun(
        Reason.NO_CAPACITY,
        "The transport is closed or the queue for "
            + daemonId
            + " would exceed "
            + limit
            + " bytes.");
    return Optional.empty();
  }

  /**
   * Accepts or rejects a connection opened by the peer.
   *
   * @param channel the channel
   * @param peerHandshake the peer's handshake
   * @return the decision, with the connection if it was accepted
   */
  synchronized Acceptance acceptInbound(Channel channel, Handshake peerHandshake) {
    if (closed) {
      return Acceptance.rejected(Answer.DUPLICATE);
    }
    if (current != null) {
      Answer answer = checkReplacement(peerHandshake, current);
      if (answer != Answer.ACCEPTED) {
        return Acceptance.rejected(answer);
      }
      current.close();
      current = null;
      listener.onPeerLost(daemonId);
    } else if (ownOpenTakesPrecedence()) {
      return Acceptance.rejected(Answer.DUPLICATE);
    }
    return new Acceptance(Answer.ACCEPTED, Optional.of(establish(channel, peerHandshake)));
  }

  /**
   * Establishes a connection that this daemon opened and the peer accepted.
   *
   * @param number the number of the connection
   * @param channel the channel
   * @param peerHandshake the peer's answer
   * @return the connection, or empty if this attempt to open it is no longer current
   */
  synchronized Optional<PeerConnection> completeOpen(
      long number, Channel channel, Handshake peerHandshake) {
    if (pendingOpenNumber != number || closed) {
      return Optional.empty();
    }
    return Optional.of(establish(channel, peerHandshake));
  }

  /**
   * Fails all messages that are queued for a connection that could not be opened.
   *
   * @param number the number of the connection; ignored if it is no longer the pending one
   * @param why a description of the failure
   */
  void onOpenFailed(long number, String why) {
    List<OutboundMessage> failed;
    synchronized (this) {
      if (pendingOpenNumber != number) {
        return;
      }
      pendingOpenNumber = 0;
      failed = drainQueue();
    }
    failed.forEach(outbound -> outbound.failNotRun(Reason.OWNER_FAILED, why));
  }

  /**
   * Removes a connection that has closed, and notifies the listener if attempts were open over it.
   *
   * @param connection the connection
   */
  synchronized void onConnectionClosed(PeerConnection connection) {
    if (current != connection) {
      return;
    }
    current = null;
    if (connection.hadOpenAttemptsAtClose()) {
      listener.onPeerLost(daemonId);
    }
  }

  /** Closes the connection and fails queued and later messages. */
  void close() {
    List<OutboundMessage> failed;
    synchronized (this) {
      closed = true;
      failed = drainQueue();
      if (current != null) {
        current.close();
      }
    }
    failed.forEach(
        outbound -> outbound.failNotRun(Reason.OWNER_FAILED, "The transport was closed."));
  }

  /**
   * Checks whether a connection is established.
   *
   * @return true if one is established
   */
  synchronized boolean isConnected() {
    return current != null;
  }

  private long beginOpen() {
    pendingOpenNumber = context.nextConnectionNumber();
    pendingSinceMs = context.nowMs();
    return pendingOpenNumber;
  }

  private PeerConnection establish(Channel channel, Handshake peerHandshake) {
    pendingOpenNumber = 0;
    current = new PeerConnection(channel, peerHandshake, context);
    long nowMs = context.nowMs();
    for (OutboundMessage outbound : drainQueue()) {
      outbound.withUpdatedRemainingTime(nowMs).ifPresent(current::enqueue);
    }
    return current;
  }

  private List<OutboundMessage> drainQueue() {
    final List<OutboundMessage> taken = new ArrayList<>(queued);
    queued.clear();
    context.addBuffered((int) -queuedBytes);
    queuedBytes = 0;
    return taken;
  }

  private boolean ownOpenTakesPrecedence() {
    return pendingOpenNumber != 0
        && context.daemonId().compareTo(daemonId) < 0
        && context.nowMs() - pendingSinceMs < OPEN_PRECEDENCE_MS;
  }

  private static Answer checkReplacement(Handshake peerHandshake, PeerConnection existing) {
    long known = existing.peer().incarnation();
    if (peerHandshake.incarnation() < known) {
      return Answer.OUTDATED;
    }
    boolean earlier =
        peerHandshake.incarnation() == known
            && peerHandshake.number() <= existing.peerConnectionNumber();
    return earlier ? Answer.DUPLICATE : Answer.ACCEPTED;
  }

  /**
   * Decision on a connection opened by the peer.
   *
   * @param answer the answer to the peer
   * @param connection the connection, if it was accepted
   */
  record Acceptance(Answer answer, Optional<PeerConnection> connection) {

    private static Acceptance rejected(Answer answer) {
      return new Acceptance(answer, Optional.empty());
    }
  }
}
