package org.sequoiareach.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Holds what the connections of one transport share. Thread-safe. */
final class TransportContext {

  /** The lowest version of the protocol that this program speaks. */
  static final int MIN_VERSION = 1;

  /** The highest version of the protocol that this program speaks. */
  static final int MAX_VERSION = 1;

  /** The bytes of the length that precedes each frame. */
  static final int LENGTH_BYTES = 4;

  private static final long NANOS_PER_MS = 1_000_000;

  private final PeerSettings settings;
  private final int minVersion;
  private final int maxVersion;
  private final AtomicLong numbers = new AtomicLong();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder heldBytes = new LongAdder();

  /**
   * Creates the shared part of a transport.
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

  /** Returns the next count of connections. */
  long nextNumber() {
    return numbers.incrementAndGet();
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

  Outbound outbound(PeerMessage message) {
    return new Outbound(message, PeerCodec.encode(message), nowMs(), new CompletableFuture<>());
  }

  ByteBuf frame(ByteBufAllocator allocator, byte[] payload) {
    ByteBuf frame = allocator.buffer(LENGTH_BYTES + payload.length);
    return frame.writeInt(payload.length).writeBytes(payload);
  }

  long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  void sent(int bytes) {
    sentBytes.add(bytes);
  }

  void received(int bytes) {
    receivedBytes.add(bytes);
  }

  void held(int delta) {
    heldBytes.add(delta);
  }

  PeerStatistics statistics(int connections) {
    return new PeerStatistics(connections, sentBytes.sum(), receivedBytes.sum(), heldBytes.sum());
  }
}
