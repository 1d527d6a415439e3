package org.sequoiareach.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.peer.AttemptMessage.AttemptData;
import org.sequoiareach.peer.AttemptMessage.AttemptEnd;
import org.sequoiareach.peer.AttemptMessage.AttemptHead;
import org.sequoiareach.peer.AttemptMessage.AttemptRejected;
import org.sequoiareach.peer.AttemptMessage.CancelAttempt;
import org.sequoiareach.peer.AttemptMessage.GrantCredit;
import org.sequoiareach.peer.AttemptMessage.OpenAttempt;

/**
 * Is one connection that stands: writes messages within the bounds and keeps track of the attempts
 * open over it. State is confined to the channel's thread.
 */
final class PeerConnection {

  private static final Logger LOG = LogManager.getLogger(PeerConnection.class);

  private final Channel channel;
  private final Handshake peer;
  private final long peerNumber;
  private final TransportContext context;
  private final Map<String, OutboundStream> streams = new HashMap<>();
  private final Set<OutboundStream> blocked = new LinkedHashSet<>();
  private final Set<String> openAttempts = new HashSet<>();
  private final AtomicLong handedOverBytes = new AtomicLong();
  private long unwrittenBytes;
  private volatile boolean closed;
  private volatile boolean cutAttempts;

  /**
   * Creates a connection over an accepted handshake.
   *
   * @param channel the channel
   * @param peer the peer's handshake
   * @param context what the connections of a transport share
   */
  PeerConnection(Channel channel, Handshake peer, TransportContext context) {
    this.channel = channel;
    this.peer = peer;
    this.peerNumber = peer.number();
    this.context = context;
  }

  /**
   * Returns the peer's handshake.
   *
   * @return the handshake
   */
  Handshake peer() {
    return peer;
  }

  /**
   * Returns the peer's count of connections when it opened or accepted this one.
   *
   * @return the number
   */
  long peerNumber() {
    return peerNumber;
  }

  /**
   * Takes a message to be written. Thread-safe; messages of one thread keep their order.
   *
   * @param outbound the message
   */
  void enqueue(Outbound outbound) {
    int size = outbound.payload().length;
    boolean mayWait = isControl(outbound.message());
    if (handedOverBytes.addAndGet(size) > context.limits().outboundBytes() && !mayWait) {
      handedOverBytes.addAndGet(-size);
      execute(outbound, () -> refuse(outbound));
      return;
    }
    execute(
        outbound,
        () -> {
          handedOverBytes.addAndGet(-size);
          accept(outbound);
        });
  }

  /**
   * Handles what the transport itself must know of a received message.
   *
   * @param message the message
   * @return true if a listener is to see it
   */
  boolean receive(PeerMessage message) {
    if (closed || message instanceof KeepAlive) {
      return false;
    }
    if (message instanceof GrantCredit grant) {
      grant(grant);
      return false;
    }
    if (message instanceof CancelAttempt cancel) {
      forget(cancel.attemptId(), "The attempt was cancelled.");
    }
    track(message);
    return true;
  }

  /** Sends a sign of life if attempts are open. Called when nothing was written for a while. */
  void keepAlive() {
    if (!openAttempts.isEmpty()) {
      KeepAlive message = new KeepAlive();
      write(context.outbound(message));
    }
  }

  /**
   * Tells whether attempts are open over this connection.
   *
   * @return true if there are any
   */
  boolean hasOpenAttempts() {
    return !openAttempts.isEmpty();
  }

  /**
   * Tells whether attempts were open when the connection closed.
   *
   * @return true if there were any
   */
  boolean hasCutAttempts() {
    return cutAttempts;
  }

  /** Closes the channel; messages not yet written fail. Thread-safe. */
  void close() {
    closed = true;
    channel.close();
  }

  /** Fails what was not written. Called on the channel's thread once it has closed. */
  void onClosed() {
    closed = true;
    cutAttempts = !openAttempts.isEmpty();
    streams.values().forEach(stream -> drain(stream, this::failLost));
    streams.clear();
    blocked.clear();
    openAttempts.clear();
  }

  private void execute(Outbound outbound, Runnable task) {
    try {
      channel.eventLoop().execute(task);
    } catch (RejectedExecutionException e) {
      outbound.failNotRun(Reason.OWNER_FAILED, "The transport has stopped.");
    }
  }

  private void accept(Outbound outbound) {
    if (closed || !channel.isActive()) {
      failLost(outbound);
      return;
    }
    if (isOfStream(outbound.message())) {
      acceptToStream(outbound, ((AttemptMessage) outbound.message()).attemptId());
      return;
    }
    acceptDirect(outbound);
  }

  private void acceptDirect(Outbound outbound) {
    int bound = context.limits().outboundBytes();
    long after = unwrittenBytes + outbound.payload().length;
    if (isControl(outbound.message())) {
      bound += bound / 2;
      if (after > bound) {
        LOG.warn("Closing the connection with {}: it does not read.", peer.daemonId());
        outbound.failNotRun(Reason.OWNER_FAILED, "The peer does not read.");
        close();
        return;
      }
    }
    if (after > bound) {
      refuse(outbound);
      return;
    }
    if (outbound.message() instanceof CancelAttempt cancel) {
      openAttempts.remove(cancel.attemptId());
    }
    track(outbound.message());
    write(outbound);
  }

  private void acceptToStream(Outbound outbound, String attemptId) {
    if (!openAttempts.contains(attemptId)) {
      acceptUnopened(outbound);
      return;
    }
    OutboundStream stream =
        streams.computeIfAbsent(
            attemptId, id -> new OutboundStream(context.limits().streamWindowBytes()));
    if (!stream.offer(outbound)) {
      outbound.failNotRun(Reason.SLOW_CALLER, "Too much of the answer waits for its reader.");
      return;
    }
    context.held(outbound.payload().length);
    pump(stream);
  }

  /** The end of an attempt that was cancelled still tells its outcome; the rest is dropped. */
  private void acceptUnopened(Outbound outbound) {
    if (isControl(outbound.message()) && !(outbound.message() instanceof AttemptHead)) {
      acceptDirect(outbound);
      return;
    }
    outbound.failNotRun(Reason.CANCELLED, "The attempt is not open over this connection.");
  }

  private void pump(OutboundStream stream) {
    while (stream.isReady()) {
      if (unwrittenBytes >= context.limits().outboundBytes()) {
        blocked.add(stream);
        return;
      }
      Outbound next = stream.take();
      context.held(-next.payload().length);
      track(next.message());
      write(next);
    }
  }

  private void write(Outbound outbound) {
    ByteBuf frame = context.frame(channel.alloc(), outbound.payload());
    int size = frame.readableBytes();
    unwrittenBytes += size;
    context.held(size);
    channel
        .writeAndFlush(frame)
        .addListener(
            done -> {
              unwrittenBytes -= size;
              context.held(-size);
              onWritten(outbound, size, done.isSuccess());
            });
  }

  private void onWritten(Outbound outbound, int size, boolean success) {
    if (!success) {
      outbound.failMayHaveRun("The connection with " + peer.daemonId() + " was lost.");
      return;
    }
    context.sent(size);
    outbound.sent().complete(null);
    pumpBlocked();
  }

  private void pumpBlocked() {
    while (!blocked.isEmpty() && unwrittenBytes < context.limits().outboundBytes()) {
      Iterator<OutboundStream> first = blocked.iterator();
      OutboundStream next = first.next();
      first.remove();
      pump(next);
    }
  }

  private void grant(GrantCredit grant) {
    OutboundStream stream = streams.get(grant.attemptId());
    if (stream == null) {
      return;
    }
    stream.grant(grant.bytes());
    pump(stream);
  }

  /** Keeps the set of open attempts in step with a message, sent or received. */
  private void track(PeerMessage message) {
    if (message instanceof OpenAttempt open) {
      openAttempts.add(open.attemptId());
    } else if (message instanceof AttemptEnd end) {
      finish(end.attemptId());
    } else if (message instanceof AttemptRejected rejected) {
      finish(rejected.attemptId());
    }
  }

  private void finish(String attemptId) {
    openAttempts.remove(attemptId);
    streams.remove(attemptId);
  }

  private void forget(String attemptId, String why) {
    openAttempts.remove(attemptId);
    OutboundStream stream = streams.remove(attemptId);
    if (stream == null) {
      return;
    }
    blocked.remove(stream);
    drain(stream, outbound -> outbound.failNotRun(Reason.CANCELLED, why));
  }

  private void drain(OutboundStream stream, Consumer<Outbound> failing) {
    stream.drain(
        outbound -> {
          context.held(-outbound.payload().length);
          failing.accept(outbound);
        });
  }

  private void failLost(Outbound outbound) {
    outbound.failNotRun(
        Reason.OWNER_FAILED, "The connection with " + peer.daemonId() + " was lost.");
  }

  private void refuse(Outbound outbound) {
    outbound.failNotRun(
        Reason.NO_CAPACITY, "Too much waits to be sent to " + peer.daemonId() + ".");
  }

  private static boolean isOfStream(PeerMessage message) {
    return message instanceof AttemptHead
        || message instanceof AttemptData
        || message instanceof AttemptEnd
        || message instanceof AttemptRejected;
  }

  private static boolean isControl(PeerMessage message) {
    return !(message instanceof OpenAttempt
        || message instanceof AttemptData
        || message instanceof SheetMessage.SheetSections);
  }
}
