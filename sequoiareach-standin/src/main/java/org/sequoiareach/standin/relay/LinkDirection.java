package org.sequoiareach.standin.relay;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.Scannable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Delays or holds the bytes of all connections in one direction. Thread-safe. */
final class LinkDirection {

  private final AtomicLong bytes = new AtomicLong();
  private volatile long delayMs;
  private volatile Sinks.Empty<Void> open = opened();

  synchronized void set(boolean stalled, long newDelayMs) {
    delayMs = newDelayMs;
    if (!stalled) {
      open.tryEmitEmpty();
    } else if (Boolean.TRUE.equals(isOpen())) {
      open = Sinks.empty();
    }
  }

  /** Returns the buffers as they come out of this direction; it takes over their ownership. */
  Flux<ByteBuf> pass(Flux<ByteBuf> buffers) {
    return buffers
        .map(buffer -> new Held(buffer, nowMs() + delayMs))
        .concatMap(this::hold)
        .doOnDiscard(Held.class, held -> held.buffer().release());
  }

  long bytes() {
    return bytes.get();
  }

  private Mono<ByteBuf> hold(Held held) {
    long leftMs = held.dueMs() - nowMs();
    Mono<?> due = leftMs <= 0 ? Mono.empty() : Mono.delay(Duration.ofMillis(leftMs));
    return due.then(Mono.defer(() -> open.asMono()))
        .then(
            Mono.fromSupplier(
                () -> {
                  bytes.addAndGet(held.buffer().readableBytes());
                  return held.buffer();
                }));
  }

  private Boolean isOpen() {
    return open.scan(Scannable.Attr.TERMINATED);
  }

  private static Sinks.Empty<Void> opened() {
    Sinks.Empty<Void> sink = Sinks.empty();
    sink.tryEmitEmpty();
    return sink;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private record Held(ByteBuf buffer, long dueMs) {}
}
