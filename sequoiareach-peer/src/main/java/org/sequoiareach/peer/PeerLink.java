package org.sequoiareach.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.peer.Handshake.Answer;

/**
 * Keeps the one connection with a peer and decides between connections that both sides open.
 *
 * <p>Each side counts the connections it opens or accepts, and a handshake carries the count. A
 * connection that the peer opened before it accepted the standing one is a duplicate; one that it
 * opened later replaces the standing one, which the peer must have lost. While both sides open at
 * the same time, the connection opened by the daemon with the smaller identity stays. Thread-safe.
 */
final class PeerLink {

  private static final long SIMULTANEOUS_OPEN_MS = 500;

  private final String daemonId;
  private final TransportContext context;
  private final PeerListener listener;
  private final ArrayDeque<Outbound> waiting = new ArrayDeque<>();
  private long waitingBytes;
  private PeerConnection current;
  private long openingNumber;
  private long openingSinceMs;
  private boolean stopped;

  /**
   * Creates the link with a peer.
   *
   * @param daemonId the peer
   * @param context what the connections of the transport share
   * @param listener told of a lost connection
   */
  PeerLink(String daemonId, TransportContext context, PeerListener listener) {
    this.daemonId = daemonId;
    this.context = context;
    this.listener = listener;
  }

  /**
   * Sends a message over the standing connection, or keeps it until there is one.
   *
   * @param outbound the message
   * @return the number under which the caller must now open a connection, if it must
   */
  Optional<Long> submit(Outbound outbound) {
    boolean refused = false;
    synchronized (this) {
      if (current != null && !stopped) {
        current.enqueue(outbound);
        return Optional.empty();
      }
      int size = outbound.payload().length;
      refused = stopped || waitingBytes + size > context.limits().outboundBytes();
      if (!refused) {
        waiting.add(outbound);
        waitingBytes += size;
        context.held(size);
        return openingNumber == 0 ? Optional.of(startOpening()) : Optional.empty();
      }
    }
    outbound.failNotRun(Reason.NO_CAPACITY, "Too much waits for a connection to " + daemonId + ".");
    return Optional.empty();
  }

  /**
   * Decides on a connection that the peer has opened.
   *
   * @param channel the channel
   * @param theirs the peer's handshake
   * @return the answer, with the connection where it is accepted
   */
  synchronized Acceptance accept(Channel channel, Handshake theirs) {
    if (stopped) {
      return Acceptance.refused(Answer.DUPLICATE);
    }
    if (current != null) {
      Answer refusal = compare(theirs, current);
      if (refusal != Answer.ACCEPTED) {
        return Acceptance.refused(refusal);
      }
      current.close();
      current = null;
      listener.onPeerLost(daemonId);
    } else if (opensFirst()) {
      return Acceptance.refused(Answer.DUPLICATE);
    }
    return new Acceptance(Answer.ACCEPTED, Optional.of(establish(channel, theirs)));
  }

  /**
   * Takes over a connection that this daemon opened and the peer accepted.
   *
   * @param number the number under which it was opened
   * @param channel the channel
   * @param theirs the peer's answer
   * @return the connection, or empty if another one stands by now
   */
  synchronized Optional<PeerConnection> accepted(long number, Channel channel, Handshake theirs) {
    if (openingNumber != number || stopped) {
      return Optional.empty();
    }
    return Optional.of(establish(channel, theirs));
  }

  /**
   * Gives up opening: all that waits for the connection fails as not run.
   *
   * @param number the number under which it was opened; nothing happens if it is out of date
   * @param why a sentence on it
   */
  void openFailed(long number, String why) {
    List<Outbound> failed;
    synchronized (this) {
      if (openingNumber != number) {
        return;
      }
      openingNumber = 0;
      failed = takeWaiting();
    }
    failed.forEach(outbound -> outbound.failNotRun(Reason.OWNER_FAILED, why));
  }

  /**
   * Forgets a connection that has closed.
   *
   * @param connection the connection
   */
  synchronized void lost(PeerConnection connection) {
    if (current != connection) {
      return;
    }
    current = null;
    if (connection.hasCutAttempts()) {
      listener.onPeerLost(daemonId);
    }
  }

  /** Closes the connection and refuses whatever comes. */
  void stop() {
    List<Outbound> failed;
    synchronized (this) {
      stopped = true;
      failed = takeWaiting();
      if (current != null) {
        current.close();
      }
    }
    failed.forEach(
        outbound -> outbound.failNotRun(Reason.OWNER_FAILED, "The transport has stopped."));
  }

  /**
   * Tells whether a connection stands.
   *
   * @return true if one does
   */
  synchronized boolean isConnected() {
    return current != null;
  }

  private long startOpening() {
    openingNumber = context.nextNumber();
    openingSinceMs = context.nowMs();
    return openingNumber;
  }

  private PeerConnection establish(Channel channel, Handshake theirs) {
    openingNumber = 0;
    current = new PeerConnection(channel, theirs, context);
    long nowMs = context.nowMs();
    for (Outbound outbound : takeWaiting()) {
      outbound.refreshed(nowMs).ifPresent(current::enqueue);
    }
    return current;
  }

  private List<Outbound> takeWaiting() {
    final List<Outbound> taken = new ArrayList<>(waiting);
    waiting.clear();
    context.held((int) -waitingBytes);
    waitingBytes = 0;
    return taken;
  }

  private boolean opensFirst() {
    return openingNumber != 0
        && context.daemonId().compareTo(daemonId) < 0
        && context.nowMs() - openingSinceMs < SIMULTANEOUS_OPEN_MS;
  }

  private static Answer compare(Handshake theirs, PeerConnection standing) {
    long known = standing.peer().incarnation();
    if (theirs.incarnation() < known) {
      return Answer.OUTDATED;
    }
    boolean earlier = theirs.incarnation() == known && theirs.number() <= standing.peerNumber();
    return earlier ? Answer.DUPLICATE : Answer.ACCEPTED;
  }

  /**
   * Is what was decided on a connection that a peer opened.
   *
   * @param answer the answer to the peer
   * @param connection the connection, where it is accepted
   */
  record Acceptance(Answer answer, Optional<PeerConnection> connection) {

    private static Acceptance refused(Answer answer) {
      return new Acceptance(answer, Optional.empty());
    }
  }
}
