package org.sequoiareach.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.peer.MembershipMessage;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Connects the membership protocol with the peer transport: effects become messages to other
 * daemons, and messages from them become events. Thread-safe.
 */
public final class MembershipBridge {

  private final EventSink events;
  private final CompletableFuture<PeerTransport> transport;

  /**
   * Creates a bridge.
   *
   * @param events receives events for the reducer
   * @param transport the transport to other daemons; sending blocks until it is available
   */
  public MembershipBridge(EventSink events, CompletableFuture<PeerTransport> transport) {
    this.events = events;
    this.transport = transport;
  }

  /**
   * Sends the message that a membership effect describes.
   *
   * @param effect the effect; effects without a message are ignored
   */
  public void handle(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.SendProbe probe) {
      send(
          probe.daemonId(),
          probe.address(),
          new MembershipMessage.Probe(probe.sequence(), probe.updates(), probe.sheet()));
    } else if (effect instanceof MembershipEffect.SendProbeAck ack) {
      send(
          ack.daemonId(),
          ack.address(),
          new MembershipMessage.ProbeAck(
              ack.sequence(), ack.memberId(), ack.updates(), ack.sheet()));
    } else if (effect instanceof MembershipEffect.SendIndirectProbe probe) {
      send(
          probe.daemonId(),
          probe.address(),
          new MembershipMessage.IndirectProbe(
              probe.sequence(), probe.memberId(), probe.memberAddress(), probe.updates()));
    }
  }

  /**
   * Posts the event for a message from another daemon.
   *
   * @param fromDaemon the sender
   * @param message the message
   */
  public void onMessage(String fromDaemon, MembershipMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof MembershipMessage.Probe probe) {
      events.post(
          new MembershipEvent.ProbeReceived(
              nowMs, fromDaemon, probe.sequence(), probe.updates(), probe.sheet()));
    } else if (message instanceof MembershipMessage.ProbeAck ack) {
      events.post(
          new MembershipEvent.ProbeAcked(
              nowMs, fromDaemon, ack.sequence(), ack.memberId(), ack.updates(), ack.sheet()));
    } else if (message instanceof MembershipMessage.IndirectProbe probe) {
      events.post(
          new MembershipEvent.IndirectProbeRequested(
              nowMs,
              fromDaemon,
              probe.sequence(),
              probe.memberId(),
              probe.address(),
              probe.updates()));
    }
  }

  /**
   * Posts the event for the loss of the connection with another daemon.
   *
   * @param daemonId the daemon
   */
  public void onPeerLost(String daemonId) {
    events.post(new MembershipEvent.PeerConnectionLost(MonotonicClock.nowMs(), daemonId));
  }

  private void send(String daemonId, String address, PeerMessage message) {
    transport
        .join()
        .send(daemonId, address, message)
        .exceptionally(
            thrown -> {
              events.post(new MembershipEvent.PeerUnreachable(MonotonicClock.nowMs(), daemonId));
              return null;
            });
  }
}
