package org.sequoiareach.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the frames of one channel: a handshake first, then messages. Confined to the channel's
 * thread.
 */
final class PeerChannel {

  private static final Logger LOG = LogManager.getLogger(PeerChannel.class);

  private final Channel channel;
  private final TransportContext context;
  private final HandshakeStrategy handshakes;
  private final PeerListener listener;
  private PeerConnection connection;
  private boolean answered;
  private boolean closed;

  /**
   * Creates a reader.
   *
   * @param channel the channel
   * @param context what the connections of the transport share
   * @param handshakes handles the peer's handshake
   * @param listener receives the messages
   */
  PeerChannel(
      Channel channel,
      TransportContext context,
      HandshakeStrategy handshakes,
      PeerListener listener) {
    this.channel = channel;
    this.context = context;
    this.handshakes = handshakes;
    this.listener = listener;
  }

  /**
   * Reads one frame. A frame that cannot be decoded closes this channel and nothing else.
   *
   * @param frame the payload; released by the caller
   */
  void onFrame(ByteBuf frame) {
    if (closed) {
      return;
    }
    context.received(frame.readableBytes() + TransportContext.LENGTH_BYTES);
    byte[] payload = ByteBufUtil.getBytes(frame);
    try {
      if (connection == null) {
        onHandshake(PeerCodec.decodeHandshake(payload));
      } else {
        onMessage(PeerCodec.decode(payload));
      }
    } catch (PeerFrameException e) {
      close(e.getMessage());
    }
  }

  /**
   * Closes the channel after a fault.
   *
   * @param why what is wrong, for the log
   */
  void close(String why) {
    if (closed) {
      return;
    }
    closed = true;
    LOG.warn("Closing the connection with {}: {}", peerName(), why);
    channel.close();
  }

  /** Closes the channel if the handshake is not over by now. */
  void onHandshakeDeadline() {
    if (connection == null) {
      close("No handshake arrived in time.");
    }
  }

  /** Closes the channel because nothing was read for long. */
  void onReadIdle() {
    if (connection != null && !connection.hasOpenAttempts()) {
      LOG.debug("Closing the unused connection with {}.", peerName());
      closed = true;
      channel.close();
      return;
    }
    close("Nothing was received within the idle deadline.");
  }

  /** Shows the peer that this daemon lives. */
  void onWriteIdle() {
    if (connection != null) {
      connection.keepAlive();
    }
  }

  /**
   * Cleans up after the channel has closed.
   *
   * @return the connection that stood, if one did
   */
  Optional<PeerConnection> onClosed() {
    closed = true;
    if (connection != null) {
      connection.onClosed();
    } else if (!answered) {
      handshakes.onClosedEarly();
    }
    return Optional.ofNullable(connection);
  }

  private void onHandshake(Handshake theirs) {
    answered = true;
    Optional<PeerConnection> established = handshakes.complete(channel, theirs);
    if (established.isEmpty()) {
      closed = true;
      return;
    }
    connection = established.get();
    LOG.info(
        "Connected with {} of zone {}, incarnation {}, at {}.",
        theirs.daemonId(),
        theirs.zone(),
        theirs.incarnation(),
        channel.remoteAddress());
  }

  private void onMessage(PeerMessage message) {
    if (!connection.receive(message)) {
      return;
    }
    try {
      listener.onMessage(connection.peer().daemonId(), message);
    } catch (RuntimeException e) {
      LOG.error("A listener failed on a message from {}.", peerName(), e);
    }
  }

  private String peerName() {
    return connection == null
        ? String.valueOf(channel.remoteAddress())
        : connection.peer().daemonId() + " at " + channel.remoteAddress();
  }

  /** Handles the handshake of the peer at one end of a channel. */
  interface HandshakeStrategy {

    /**
     * Answers or evaluates the peer's handshake, and closes the channel where it does not stand.
     *
     * @param channel the channel
     * @param theirs the peer's handshake
     * @return the connection, where it stands
     */
    Optional<PeerConnection> complete(Channel channel, Handshake theirs);

    /** The channel has closed before a handshake was read. */
    default void onClosedEarly() {}
  }
}
