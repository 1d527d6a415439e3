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
 * Established connection to a peer. It limits the bytes that wait to be written, applies flow
 * control to answers and tracks the attempts open over the connection.
 *
 * <p>State is confined to the channel's thread, except where a method says otherwise.
 */
final class PeerConnection {

  private static final Logger LOG = LogManager.getLogger(PeerConnection.class);

  private final Channel channel;
  private final Handshake peer;
  private final long peerConnectionNumber;
  private final TransportContext context;
  private final Map<String, OutboundStream> streams = new HashMap<>();
  private final Set<OutboundStream> blockedStreams = new LinkedHashSet<>();
  private final Set<String> openAttempts = new HashSet<>();

  /** Bytes of messages that the channel's thread has not yet taken over. */
  private final AtomicLong submittedBytes = new AtomicLong();

  /** Bytes passed to the channel but not yet written to the socket. */
  private long unwrittenBytes;

  private volatile boolean closed;
  private volatile boolean openAttemptsAtClose;

  /**
   * Creates a connection after a successful handshake.
   *
   * @param channel the channel
   * @param peer the peer's handshake
   * @param context the context of the transport
   */
  PeerConnection(Channel channel, Handshake peer, TransportContext context) {
    this.channel = channel;
    this.peer = peer;
    this.peerConnectionNumber = peer.number();
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
   * Returns the number that the peer gave this connection.
   *
   * @return the number
   */
  long peerConnectionNumber() {
    return peerConnectionNumber;
  }

  /**
   * Submits a message for writing. Thread-safe; messages of one thread keep their order.
   *
   * @param outbound the message
   */
  void enqueue(OutboundMessage outbound) {
    int size = outbound.payload().length;
    boolean control = isControl(outbound.message());
    if (submittedBytes.addAndGet(size) > context.limits().outboundBytes() && !control) {
      submittedBytes.addAndGet(-size);
      execute(outbound, () -> rejectOverLimit(outbound));
      return;
    }
    execute(
        outbound,
        () -> {
          submittedBytes.addAndGet(-size);
          accept(outbound);
        });
  }

  /**
   * Updates the state of the connection for a received message.
   *
   * @param message the message
   * @return true if the message is to be passed to the listener
   */
  boolean receive(PeerMessage message) {
    if (closed || message instanceof KeepAlive) {
      return false;
    }
    if (message instanceof GrantCredit grant) {
      applyCredit(grant);
      return false;
    }
    if (message instanceof CancelAttempt cancel) {
      discardStream(cancel.attemptId());
    }
    updateOpenAttempts(message);
    return true;
  }

  /**
   * Sends a keep-alive message if attempts are open. Called when nothing was written for a while.
   */
  void keepAlive() {
    if (!openAttempts.isEmpty()) {
      KeepAlive message = new KeepAlive();
      write(context.encode(message));
    }
  }

  /**
   * Checks whether attempts are open over this connection.
   *
   * @return true if there are any
   */
  boolean hasOpenAttempts() {
    return !openAttempts.isEmpty();
  }

  /**
   * Checks whether attempts were open when the connection closed. Thread-safe.
   *
   * @return true if there were any
   */
  boolean hadOpenAttemptsAtClose() {
    return openAttemptsAtClose;
  }

  /** Closes the channel and fails messages that are not yet written. Thread-safe. */
  void close() {
    closed = true;
    channel.close();
  }

  /** Fails the queued messages. Called on the channel's thread after the channel has closed. */
  void onClosed() {
    closed = true;
    openAttemptsAtClose = !openAttempts.isEmpty();
    streams.values().forEach(stream -> drain(stream, this::failLost));
    streams.clear();
    blockedStreams.clear();
    openAttempts.clear();
  }

  private void execute(OutboundMessage outbound, Runnable task) {
    try {
      channel.eventLoop().execute(task);
    } catch (RejectedExecutionException e) {
      outbound.failNotRun(Reason.OWNER_FAILED, "The transport was closed.");
    }
  }

  private void accept(OutboundMessage outbound) {
    if (closed || !channel.isActive()) {
      failLost(outbound);
      return;
    }
    if (belongsToStream(outbound.message())) {
      acceptForStream(outbound, ((AttemptMessage) outbound.message()).attemptId());
      return;
    }
    writeWithinLimit(outbound);
  }

  private void writeWithinLimit(OutboundMessage outbound) {
    int limit = context.limits().outboundBytes();
    long unwrittenAfter = unwrittenBytes + outbound.payload().length;
    if (isControl(outbound.message())) {
      limit += limit / 2;
      if (unwrittenAfter > limit) {
        LOG.warn(
            "Closing the connection with {}: it does not read, {} bytes wait to be written.",
            peer.daemonId(),
            unwrittenBytes);
        outbound.failNotRun(
            Reason.OWNER_FAILED, "The peer " + peer.daemonId() + " does not read its connection.");
        close();
        return;
      }
    }
    if (unwrittenAfter > limit) {
      rejectOverLimit(outbound);
      return;
    }
    if (outbound.message() instanceof CancelAttempt cancel) {
      openAttempts.remove(cancel.attemptId());
    }
    updateOpenAttempts(outbound.message());
    write(outbound);
  }

  private void acceptForStream(OutboundMessage outbound, String attemptId) {
    if (!openAttempts.contains(attemptId)) {
      acceptForClosedAttempt(outbound, attemptId);
      return;
    }
    OutboundStream stream =
        streams.computeIfAbsent(
            attemptId, id -> new OutboundStream(context.limits().streamWindowBytes()));
    if (!stream.offer(outbound)) {
      int windowBytes = context.limits().streamWindowBytes();
      outbound.failNotRun(
          Reason.SLOW_CALLER,
          "The unsent answer of attempt " + attemptId + " exceeds " + windowBytes + " bytes.");
      return;
    }
    context.addBuffered(outbound.payload().length);
    writeReadyMessages(stream);
  }

  /**
   * Handles a message of an attempt that is no longer open, for example because it was cancelled.
   * Its outcome is still sent, and the rest of its answer fails.
   */
  private void acceptForClosedAttempt(OutboundMessage outbound, String attemptId) {
    if (isControl(outbound.message()) && !(outbound.message() instanceof AttemptHead)) {
      writeWithinLimit(outbound);
      return;
    }
    outbound.failNotRun(
        Reason.CANCELLED, "Attempt " + attemptId + " is not open on this connection.");
  }

  private void writeReadyMessages(OutboundStream stream) {
    while (stream.isReady()) {
      if (unwrittenBytes >= context.limits().outboundBytes()) {
        blockedStreams.add(stream);
        return;
      }
      OutboundMessage next = stream.take();
      context.addBuffered(-next.payload().length);
      updateOpenAttempts(next.message());
      write(next);
    }
  }

  private void write(OutboundMessage outbound) {
    ByteBuf frame = context.encodeFrame(channel.alloc(), outbound.payload());
    int size = frame.readableBytes();
    unwrittenBytes += size;
    context.addBuffered(size);
    channel
        .writeAndFlush(frame)
        .addListener(
            done -> {
              unwrittenBytes -= size;
              context.addBuffered(-size);
              onWritten(outbound, size, done.isSuccess());
            });
  }

  private void onWritten(OutboundMessage outbound, int size, boolean success) {
    if (!success) {
      outbound.failMayHaveRun("The connection with " + peer.daemonId() + " was lost.");
      return;
    }
    context.addSent(size);
    outbound.sent().complete(null);
    writeBlockedStreams();
  }

  private void writeBlockedStreams() {
    while (!blockedStreams.isEmpty() && unwrittenBytes < context.limits().outboundBytes()) {
      Iterator<OutboundStream> first = blockedStreams.iterator();
      OutboundStream next = first.next();
      first.remove();
      writeReadyMessages(next);
    }
  }

  private void applyCredit(GrantCredit grant) {
    OutboundStream stream = streams.get(grant.attemptId());
    if (stream == null) {
      return;
    }
    stream.addCredit(grant.bytes());
    writeReadyMessages(stream);
  }

  /** Updates the set of open attempts for a message that is sent or received. */
  private void updateOpenAttempts(PeerMessage message) {
    if (message instanceof OpenAttempt open) {
      openAttempts.add(open.attemptId());
    } else if (message instanceof AttemptEnd end) {
      closeAttempt(end.attemptId());
    } else if (message instanceof AttemptRejected rejected) {
      closeAttempt(rejected.attemptId());
    }
  }

  private void closeAttempt(String attemptId) {
    openAttempts.remove(attemptId);
    streams.remove(attemptId);
  }

  private void discardStream(String attemptId) {
    openAttempts.remove(attemptId);
    OutboundStream stream = streams.remove(attemptId);
    if (stream == null) {
      return;
    }
    blockedStreams.remove(stream);
    String text = "Attempt " + attemptId + " was cancelled.";
    drain(stream, outbound -> outbound.failNotRun(Reason.CANCELLED, text));
  }

  private void drain(OutboundStream stream, Consumer<OutboundMessage> failure) {
    stream.drain(
        outbound -> {
          context.addBuffered(-outbound.payload().length);
          failure.accept(outbound);
        });
  }

  private void failLost(OutboundMessage outbound) {
    outbound.failNotRun(
        Reason.OWNER_FAILED, "The connection with " + peer.daemonId() + " was lost.");
  }

  private void rejectOverLimit(OutboundMessage outbound) {
    outbound.failNotRun(
        Reason.NO_CAPACITY,
        "More than "
            + context.limits().outboundBytes()
            + " bytes wait to be sent to "
            + peer.daemonId()
            + ".");
  }

  private static boolean belongsToStream(PeerMessage message) {
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
