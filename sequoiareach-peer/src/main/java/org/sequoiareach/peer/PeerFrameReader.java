package org.sequoiareach.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the frames of one channel, which start with a handshake and continue with messages.
 * Confined to the channel's thread.
 */
final class PeerFrameReader {

  private static final Logger LOG = LogManager.getLogger(PeerFrameReader.class);

  private final Channel channel;
  private final TransportContext context;
  private final HandshakeHandler handshakeHandler;
  private final PeerListener listener;
  private PeerConnection connection;
  private boolean handshakeReceived;
  private boolean closed;

  /**
   * Creates a reader.
   *
   * @param channel the channel
   * @param context the context of the transport
   * @param handshakeHandler handles the peer's handshake
   * @param listener receives the messages
   */
  PeerFrameReader(
      Channel channel,
      TransportContext context,
      HandshakeHandler handshakeHandler,
      PeerListener listener) {
    this.channel = channel;
    this.context = context;
    this.handshakeHandler = handshakeHandler;
    this.listener = listener;
  }

  /**
   * Reads one frame. A frame that cannot be decoded closes this channel only.
   *
   * @param frame the payload of the frame; the caller releases it
   */
  void onFrame(ByteBuf frame) {
    if (closed) {
      return;
    }
    context.addReceived(frame.readableBytes() + TransportContext.LENGTH_FIELD_BYTES);
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
   * Closes the channel because of an error and logs a warning.
   *
   * @param why a description of the error
   */
  void close(String why) {
    if (closed) {
      return;
    }
    closed = true;
    LOG.warn("Closing the connection with {}: {}", peerName(), why);
    channel.close();
  }

  /** Closes the channel if the handshake has not completed. Called when the handshake times out. */
  void onHandshakeDeadline() {
    if (connection == null) {
      close("No handshake within " + context.limits().connectTimeoutMs() + " ms.");
    }
  }

  /** Closes the channel. Called when nothing was received for the idle timeout. */
  void onReadIdle() {
    if (connection != null && !connection.hasOpenAttempts()) {
      LOG.debug("Closing the idle connection with {}.", peerName());
      closed = true;
      channel.close();
      return;
    }
    close("Nothing received for " + context.limits().idleTimeoutMs() + " ms.");
  }

  /** Sends a keep-alive message if needed. Called when nothing was written for a while. */
  void onWriteIdle() {
    if (connection != null) {
      connection.keepAlive();
    }
  }

  /**
   * Cleans up after the channel has closed.
   *
   * @return the connection, if it was established
   */
  Optional<PeerConnection> onClosed() {
    closed = true;
    if (connection != null) {
      connection.onClosed();
    } else if (!handshakeReceived) {
      handshakeHandler.onClosedBeforeHandshake();
    }
    return Optional.ofNullable(connection);
  }

  private void onHandshake(Handshake peerHandshake) {
    handshakeReceived = true;
    Optional<PeerConnection> established = handshakeHandler.complete(channel, peerHandshake);
    if (established.isEmpty()) {
      closed = true;
      return;
    }
    connection = established.get();
    LOG.info(
        "Connected with {} of zone {}, incarnation {}, at {}.",
        peerHandshake.daemonId(),
        peerHandshake.zone(),
        peerHandshake.incarnation(),
        channel.remoteAddress());
  }

  private void onMessage(PeerMessage message) {
    if (!connection.receive(message)) {
      return;
    }
    try {
      listener.onMessage(connection.peer().daemonId(), message);
    } catch (RuntimeException e) {
      LOG.error(
          "The listener failed on a {} from {}.",
          message.getClass().getSimpleName(),
          peerName(),
          e);
    }
  }

  private String peerName() {
    return connection == null
        ? String.valueOf(channel.remoteAddress())
        : connection.peer().daemonId() + " at " + channel.remoteAddress();
  }

  /** Processes the peer's handshake, for a channel opened by either side. */
  interface HandshakeHandler {

    /**
     * Completes the handshake, and closes the channel if the connection is not established.
     *
     * @param channel the channel
     * @param peerHandshake the peer's handshake
     * @return the connection, if it is established
     */
    Optional<PeerConnection> complete(Channel channel, Handshake peerHandshake);

    /** Called when the channel has closed before the peer's handshake was received. */
    default void onClosedBeforeHandshake() {}
  }
}
