package org.sequoiareach.daemon.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.Header;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Calls plain services. Every call has a connection of its own: a pooled one may be closed by the
 * service just as a call is written to it, and then nobody knows whether the call ran. Thread-safe.
 */
public final class ServiceClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int ANSWER_BYTES = 16 << 20;

  /** Headers of one connection, not of the message; they are not passed on. */
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "transfer-encoding",
          "content-length",
          "host",
          "upgrade",
          "te",
          "trailer",
          "expect",
          "proxy-authorization",
          "authorization");

  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param traffic the traffic threads
   */
  public ServiceClient(LoopResources traffic) {
    this.client =
        HttpClient.create(ConnectionProvider.newConnection())
            .runOn(traffic, false)
            .disableRetry(true)
            .keepAlive(false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Tells whether a header is passed between callers and targets.
   *
   * @param name the header's name
   * @return true if it belongs to the message
   */
  public static boolean isPassedOn(String name) {
    return !CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  /**
   * Calls a service and reads its answer.
   *
   * @param dispatch the attempt
   * @param content the caller's request
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  public Flux<AnswerPart> call(Effect.Dispatch dispatch, RequestContent content) {
    long leftMs = Math.max(1, dispatch.deadlineMs() - MonotonicClock.nowMs());
    return client
        .responseTimeout(Duration.ofMillis(leftMs))
        .headers(
            headers -> content.headers().forEach(field -> headers.add(field.name(), field.value())))
        .request(HttpMethod.valueOf(content.method()))
        .uri("http://" + dispatch.address() + content.path())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(content.body())))
        .response((response, bytes) -> read(dispatch, response, bytes))
        .onErrorMap(thrown -> TargetFailures.classify(dispatch.targetId(), thrown));
  }

  private static Flux<AnswerPart> read(
      Effect.Dispatch dispatch, HttpClientResponse response, ByteBufFlux bytes) {
    List<Header> headers = new ArrayList<>();
    response
        .responseHeaders()
        .forEach(
            field -> {
              if (isPassedOn(field.getKey())) {
                headers.add(new Header(field.getKey(), field.getValue()));
              }
            });
    AnswerPart head = new AnswerPart.Head(response.status().code(), headers);
    AtomicLong sequence = new AtomicLong();
    AtomicLong size = new AtomicLong();
    Flux<AnswerPart> body =
        bytes
            .asByteArray()
            .doOnNext(chunk -> requireSize(dispatch.targetId(), size.addAndGet(chunk.length)))
            .map(
                chunk ->
                    new AnswerPart.Data(
                        dispatch.targetId(),
                        dispatch.attemptId(),
                        sequence.incrementAndGet(),
                        chunk));
    return Flux.concat(Flux.just(head), body, Flux.just(new AnswerPart.End(0)));
  }

  private static void requireSize(String targetId, long bytes) {
    if (bytes > ANSWER_BYTES) {
      throw TargetFailures.failure(
          Verdict.MAY_HAVE_RUN,
          Reason.TOO_LARGE,
          "the answer of " + targetId + " exceeds " + ANSWER_BYTES + " bytes");
    }
  }
}
