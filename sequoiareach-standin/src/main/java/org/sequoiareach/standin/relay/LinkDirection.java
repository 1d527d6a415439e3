package org.sequoiareach.standin.relay;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.Scannable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Delays or stalls the bytes that all connections of a relay send in one direction. Thread-safe.
 */
final class LinkDirection {

  private final AtomicLong bytes = new AtomicLong();
  private volatile long delayMs;
  private volatile Sinks.Empty<Void> unstalled = completed();

  synchronized void set(boolean stalled, long newDelayMs) {
    delayMs = newDelayMs;
    if (!stalled) {
      unstalled.tryEmitEmpty();
    } else if (Boolean.TRUE.equals(isUnstalled())) {
      unstalled = Sinks.empty();
    }
  }

  /** Emits the buffers after the delay and any stall; takes ownership of the buffers. */
  Flux<ByteBuf> relay(Flux<ByteBuf> buffers) {
    return buffers
        .map(buffer -> new DelayedBuffer(buffer, nowMs() + delayMs))
        .concatMap(this::delay)
        .doOnDiscard(DelayedBuffer.class, delayed -> delayed.buffer().release());
  }

  long bytes() {
    return bytes.get();
  }

  private Mono<ByteBuf> delay(DelayedBuffer delayed) {
    long remainingMs = delayed.dueMs() - nowMs();
    Mono<?> delayPassed =
        remainingMs <= 0 ? Mono.empty() : Mono.delay(Duration.ofMillis(remainingMs));
    return delayPassed
        .then(Mono.defer(() -> unstalled.asMono()))
        .then(
            Mono.fromSupplier(
                () -> {
                  bytes.addAndGet(delayed.buffer().readableBytes());
                  return delayed.buffer();
                }));
  }

  private Boolean isUnstalled() {
    return unstalled.scan(Scannable.Attr.TERMINATED);
  }

  private static Sinks.Empty<Void> completed() {
    Sinks.Empty<Void> sink = Sinks.empty();
    sink.tryEmitEmpty();
    return sink;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private record DelayedBuffer(ByteBuf buffer, long dueMs) {}
}
