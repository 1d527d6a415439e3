package org.sequoiareach.daemon.target;

import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Operators;

/**
 * Fails a stream whose target sends nothing for too long although more is wanted.
 *
 * <p>A timeout of the connection itself would also count the time in which a slow caller wants
 * nothing, and blame the target for it. Used for one stream; thread-safe.
 */
final class IdleWatch {

  private static final int CHECKS_PER_TIMEOUT = 5;

  private final long timeoutMs;
  private final AtomicLong wanted = new AtomicLong();
  private volatile long sinceMs = MonotonicClock.nowMs();

  IdleWatch(Duration timeout) {
    this.timeoutMs = timeout.toMillis();
  }

  /** Notes that bytes came from the target. */
  void received() {
    sinceMs = MonotonicClock.nowMs();
  }

  /** Returns the stream, which fails with {@link ReadTimeoutException} when it is idle. */
  <T> Flux<T> watch(Flux<T> stream) {
    Flux<Long> idle =
        Flux.interval(Duration.ofMillis(Math.max(1, timeoutMs / CHECKS_PER_TIMEOUT)))
            .onBackpressureDrop()
            .filter(tick -> isIdle())
            .flatMap(tick -> Flux.error(ReadTimeoutException.INSTANCE));
    return stream
        .doOnRequest(this::want)
        .doOnNext(part -> wanted.updateAndGet(IdleWatch::less))
        .takeUntilOther(idle);
  }

  private void want(long more) {
    if (wanted.getAndAccumulate(more, Operators::addCap) == 0) {
      received();
    }
  }

  private boolean isIdle() {
    return wanted.get() > 0 && MonotonicClock.nowMs() - sinceMs > timeoutMs;
  }

  private static long less(long count) {
    return count == Long.MAX_VALUE ? count : count - 1;
  }
}
