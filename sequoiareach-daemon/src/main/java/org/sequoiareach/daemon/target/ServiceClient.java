package org.sequoiareach.daemon.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.sse.EventBoundaryTracker;
import org.sequoiareach.daemon.sse.EventStreams;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.Header;
import org.sequoiareach.store.http.ResponseHardening;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * A client for services. Each call uses a new connection: a service may close a pooled connection
 * while a call is written to it, which leaves unknown whether the call was executed. Thread-safe.
 */
public final class ServiceClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  /** Headers that belong to one connection rather than to the message and are not forwarded. */
  private static final Set<String> UNFORWARDED_HEADERS =
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
   * @param eventLoops the event loops that serve connections
   */
  public ServiceClient(LoopResources eventLoops) {
    this.client =
        ResponseHardening.applyTo(HttpClient.create(ConnectionProvider.newConnection()))
            .runOn(eventLoops, false)
            .disableRetry(true)
            .keepAlive(false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Returns whether a header is forwarded between callers and targets.
   *
   * @param name the name of the header
   * @return true if the header belongs to the message; false if it belongs to one connection
   */
  public static boolean isForwarded(String name) {
    return !UNFORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  /**
   * Calls a service and reads its answer.
   *
   * @param dispatch the attempt
   * @param content the request of the caller
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  public Flux<AnswerPart> call(Effect.Dispatch dispatch, RequestContent content) {
    ResponseConnection connection = new ResponseConnection();
    AnswerDeadline deadline = new AnswerDeadline(dispatch.deadlineMs(), connection);
    ReadAheadLimit readAhead = new ReadAheadLimit(connection);
    return connection
        .recordFrom(client)
        .headers(
            headers -> content.headers().forEach(field -> headers.add(field.name(), field.value())))
        .request(HttpMethod.valueOf(content.method()))
        .uri("http://" + dispatch.address() + content.path())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(content.body())))
        .response((response, bytes) -> read(dispatch, response, bytes, readAhead))
        .transform(deadline::applyTo)
        .onErrorMap(thrown -> TargetFailures.classify(dispatch.targetId(), thrown));
  }

  private static Flux<AnswerPart> read(
      Effect.Dispatch dispatch,
      HttpClientResponse response,
      ByteBufFlux bytes,
      ReadAheadLimit readAhead) {
    List<Header> headers = new ArrayList<>();
    response
        .responseHeaders()
        .forEach(
            field -> {
              if (isForwarded(field.getKey())) {
                headers.add(new Header(field.getKey(), field.getValue()));
              }
            });
    AnswerPart head = new AnswerPart.Head(response.status().code(), headers);
    AtomicLong sequence = new AtomicLong();
    AtomicLong size = new AtomicLong();
    Optional<EventBoundaryTracker> events =
        EventStreams.isAnnouncedBy(response.responseHeaders())
            ? Optional.of(new EventBoundaryTracker())
            : Optional.empty();
    Flux<AnswerPart> body =
        readAhead
            .applyTo(bytes.asByteArray())
            .doOnNext(chunk -> verifySize(dispatch.targetId(), size.addAndGet(chunk.length)))
            .doOnNext(chunk -> events.ifPresent(tracker -> tracker.read(chunk)))
            .map(
                chunk ->
                    new AnswerPart.Data(
                        dispatch.targetId(),
                        dispatch.attemptId(),
                        sequence.incrementAndGet(),
                        chunk));
    Mono<AnswerPart> end = Mono.fromSupplier(() -> endOf(dispatch.targetId(), events));
    return Flux.concat(Flux.just(head), body, end);
  }

  /** Ends an answer; fails if it is a stream that was cut inside an event. */
  private static AnswerPart endOf(String targetId, Optional<EventBoundaryTracker> events) {
    if (events.filter(EventBoundaryTracker::isInsideEvent).isPresent()) {
      throw TargetFailures.failure(
          Verdict.MAY_HAVE_RUN,
          Reason.TARGET_FAILED,
          "the stream of target " + targetId + " ended inside an event");
    }
    return new AnswerPart.End(0);
  }

  private static void verifySize(String targetId, long bytes) {
    if (bytes > MAX_ANSWER_BYTES) {
      throw TargetFailures.failure(
          Verdict.MAY_HAVE_RUN,
          Reason.TOO_LARGE,
          "the answer of target " + targetId + " exceeds " + MAX_ANSWER_BYTES + " bytes");
    }
  }
}
