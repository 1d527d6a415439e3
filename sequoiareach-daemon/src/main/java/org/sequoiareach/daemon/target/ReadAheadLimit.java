package org.sequoiareach.daemon.target;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Flux;

/**
 * Limits how far a response is read ahead of a slow consumer, by pausing the reads of its
 * connection.
 *
 * <p>Without unlimited demand, Reactor Netty loses the buffers that wait for demand, and the
 * failure behind them, when the connection closes: it then changes the reads of a channel that is
 * no longer registered, which fails. An instance serves one response. Thread-safe.
 */
final class ReadAheadLimit {

  private static final int MAX_PENDING = 16;
  private static final int RESUME_AT = 4;

  private final AtomicInteger pending = new AtomicInteger();
  private final ResponseConnection connection;

  ReadAheadLimit(ResponseConnection connection) {
    this.connection = connection;
  }

  /**
   * Returns the parts of a response with the limit applied. A failure follows the parts that were
   * received before it.
   *
   * @param parts the parts, each decoded from a buffer within its signal
   */
  <T> Flux<T> applyTo(Flux<T> parts) {
    return parts
        .doOnNext(part -> onReceived())
        .onBackpressureBuffer()
        .doOnNext(part -> onConsumed())
        .doOnCancel(this::resumeReads);
  }

  private void onReceived() {
    if (pending.incrementAndGet() >= MAX_PENDING) {
      updateReads();
    }
  }

  private void onConsumed() {
    if (pending.decrementAndGet() == RESUME_AT) {
      updateReads();
    }
  }

  /** Lets the end of a connection that nobody reads any more be noticed. */
  private void resumeReads() {
    pending.set(0);
    updateReads();
  }

  private void updateReads() {
    connection.channel().ifPresent(used -> used.eventLoop().execute(() -> updateReads(used)));
  }

  private void updateReads(Channel used) {
    if (used.isActive()) {
      used.config().setAutoRead(pending.get() < MAX_PENDING);
    }
  }
}
