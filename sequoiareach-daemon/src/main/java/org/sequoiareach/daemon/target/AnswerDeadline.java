package org.sequoiareach.daemon.target;

import io.netty.handler.timeout.ReadTimeoutException;
import java.time.Duration;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Fails an answer that has not ended by its deadline, also if it still brings bytes now and then,
 * which a read timeout would take for progress. An instance serves one answer. Thread-safe.
 */
final class AnswerDeadline {

  private final long deadlineMs;
  private final ResponseConnection connection;

  /**
   * Creates a deadline.
   *
   * @param deadlineMs the deadline, in milliseconds of the monotonic clock
   * @param connection the connection to close when the deadline passes
   */
  AnswerDeadline(long deadlineMs, ResponseConnection connection) {
    this.deadlineMs = deadlineMs;
    this.connection = connection;
  }

  /** Returns the answer with the deadline applied; it fails with {@link ReadTimeoutException}. */
  <T> Flux<T> applyTo(Flux<T> answer) {
    return Flux.defer(
        () -> {
          long remainingMs = Math.max(1, deadlineMs - MonotonicClock.nowMs());
          return connection.closeOn(Mono.delay(Duration.ofMillis(remainingMs)), answer);
        });
  }
}
