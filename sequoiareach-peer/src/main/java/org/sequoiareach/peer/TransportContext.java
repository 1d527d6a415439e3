package org.sequoiareach.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Settings, counters and factory methods shared by the connections of one transport. Thread-safe.
 */
final class TransportContext {

  /** The lowest protocol version that this program supports. */
  static final int MIN_VERSION = 1;

  /** The highest protocol version that this program supports. */
  static final int MAX_VERSION = 1;

  /** The size of the length field that precedes each frame. */
  static final int LENGTH_FIELD_BYTES = 4;

  private static final long NANOS_PER_MS = 1_000_000;

  private final PeerSettings settings;
  private final int minVersion;
  private final int maxVersion;
  private final AtomicLong connectionCounter = new AtomicLong();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder bufferedBytes = new LongAdder();

  /**
   * Creates the context of a transport.
   *
   * @param settings the transport's settings
   * @param minVersion the lowest version to announce
   * @param maxVersion the highest version to announce
   */
  TransportContext(PeerSettings settings, int minVersion, int maxVersion) {
    this.settings = settings;
    this.minVersion = minVersion;
    this.maxVersion = maxVersion;
  }

  PeerLimits limits() {
    return settings.limits();
  }

  String daemonId() {
    return settings.daemonId();
  }

  /** Returns the number of the next connection that is opened or accepted. */
  long nextConnectionNumber() {
    return connectionCounter.incrementAndGet();
  }

  Handshake handshake(long number, Handshake.Answer answer) {
    return new Handshake(
        minVersion,
        maxVersion,
        settings.daemonId(),
        settings.incarnation(),
        settings.zone(),
        number,
        answer);
  }

  OutboundMessage encode(PeerMessage message) {
    return new OutboundMessage(
        message, PeerCodec.encode(message), nowMs(), new CompletableFuture<>());
  }

  ByteBuf encodeFrame(ByteBufAllocator allocator, byte[] payload) {
    ByteBuf frame = allocator.buffer(LENGTH_FIELD_BYTES + payload.length);
    return frame.writeInt(payload.length).writeBytes(payload);
  }

  long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  void addSent(int bytes) {
    sentBytes.add(bytes);
  }

  void addReceived(int bytes) {
    receivedBytes.add(bytes);
  }

  void addBuffered(int delta) {
    bufferedBytes.add(delta);
  }

  PeerStatistics statistics(int connections) {
    return new PeerStatistics(
        connections, sentBytes.sum(), receivedBytes.sum(), bufferedBytes.sum());
  }
}
