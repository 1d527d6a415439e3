package org.sequoiareach.daemon.target;

import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Operators;

/**
 * Fails a stream if it brings no part for a given time although there is demand. Bytes that make up
 * no part, such as comments, do not extend the time.
 *
 * <p>A read timeout of the connection would also count the time in which a slow caller has no
 * demand and would attribute it to the target. An instance serves one stream. Thread-safe.
 */
final class IdleTimeout {

  private static final int CHECKS_PER_TIMEOUT = 5;

  private final long timeoutMs;
  private final ResponseConnection connection;
  private final AtomicLong demand = new AtomicLong();
  private volatile long lastActivityMs = MonotonicClock.nowMs();

  IdleTimeout(Duration timeout, ResponseConnection connection) {
    this.timeoutMs = timeout.toMillis();
    this.connection = connection;
  }

  /** Returns the stream with the timeout applied; it fails with {@link ReadTimeoutException}. */
  <T> Flux<T> applyTo(Flux<T> stream) {
    Mono<Long> timeout =
        Flux.interval(Duration.ofMillis(Math.max(1, timeoutMs / CHECKS_PER_TIMEOUT)))
            .onBackpressureDrop()
            .filter(tick -> isIdle())
            .next();
    return connection.closeOn(
        timeout, stream.doOnRequest(this::addDemand).doOnNext(part -> onPart()));
  }

  private void addDemand(long requested) {
    if (demand.getAndAccumulate(requested, Operators::addCap) == 0) {
      lastActivityMs = MonotonicClock.nowMs();
    }
  }

  private void onPart() {
    lastActivityMs = MonotonicClock.nowMs();
    demand.updateAndGet(IdleTimeout::decrement);
  }

  private boolean isIdle() {
    return demand.get() > 0 && MonotonicClock.nowMs() - lastActivityMs > timeoutMs;
  }

  private static long decrement(long count) {
    return count == Long.MAX_VALUE ? count : count - 1;
  }
}
