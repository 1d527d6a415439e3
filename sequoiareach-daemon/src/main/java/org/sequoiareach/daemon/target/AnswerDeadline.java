package org.sequoiareach.daemon.target;

import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import java.util.Optional;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;

/**
 * Fails an answer that has not ended by its deadline, also if it still brings bytes now and then,
 * which a read timeout would take for progress. An instance serves one answer. Thread-safe.
 */
final class AnswerDeadline {

  private final long deadlineMs;
  private volatile Optional<Connection> connection = Optional.empty();

  /**
   * Creates a deadline.
   *
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   */
  AnswerDeadline(long deadlineMs) {
    this.deadlineMs = deadlineMs;
  }

  /** Sets the connection to close when the deadline passes. */
  void setConnection(Connection used) {
    connection = Optional.of(used);
  }

  /** Returns the answer with the deadline applied; it fails with {@link ReadTimeoutException}. */
  <T> Flux<T> applyTo(Flux<T> answer) {
    return Flux.defer(() -> answer.takeUntilOther(expiry()));
  }

  private Mono<Void> expiry() {
    long remainingMs = Math.max(1, deadlineMs - MonotonicClock.nowMs());
    return Mono.delay(Duration.ofMillis(remainingMs))
        .doOnNext(tick -> connection.ifPresent(used -> used.channel().close()))
        .then(Mono.error(ReadTimeoutException.INSTANCE));
  }
}
