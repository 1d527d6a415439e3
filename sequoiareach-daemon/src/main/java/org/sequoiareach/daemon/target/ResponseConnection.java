package org.sequoiareach.daemon.target;

import io.netty.channel.Channel;
import io.netty.handler.timeout.ReadTimeoutException;
import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * The connection on which a response arrives, which is known once its request is sent. An instance
 * serves one request. Thread-safe.
 */
final class ResponseConnection {

  private volatile Optional<Channel> channel = Optional.empty();

  /** Returns a client that records the connection of its request here. */
  HttpClient recordFrom(HttpClient client) {
    return client.doOnRequest((request, used) -> channel = Optional.of(used.channel()));
  }

  Optional<Channel> channel() {
    return channel;
  }

  /**
   * Returns a stream that fails with {@link ReadTimeoutException} and closes the connection when a
   * timeout expires. Cancelling the stream does not close the connection while the target goes on
   * sending.
   *
   * @param timeout emits a value when it expires
   */
  <T> Flux<T> closeOn(Mono<?> timeout, Flux<T> stream) {
    return stream.takeUntilOther(
        timeout
            .doOnNext(expired -> channel.ifPresent(Channel::close))
            .flatMap(expired -> Mono.error(ReadTimeoutException.INSTANCE)));
  }
}
