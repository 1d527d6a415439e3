package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

class ServiceClientTest {

  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNK = RawServer.chunk("x");
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long SHORT_CALL_MS = 1_500;
  private static final int TRICKLE_PERIOD_MS = 50;

  private final LoopResources traffic = LoopResources.create("test-traffic", 1, true);

  @AfterEach
  void stop() {
    traffic.dispose();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 300})
  void deliversReceivedBytesBeforeFailureOfTheirAnswer(int chunks) throws IOException {
    AtomicInteger received = new AtomicInteger();
    try (RawTarget service = new RawTarget(socket -> breakOff(socket, chunks))) {
      Flux<AnswerPart> slowlyRead =
          new ServiceClient(traffic)
              .call(
                  dispatch(service.address(), MonotonicClock.nowMs() + TIMEOUT.toMillis()),
                  content())
              .limitRate(1)
              .concatMapDelayError(part -> Mono.just(part).delayElement(Duration.ofMillis(2)), 1)
              .doOnNext(
                  part ->
                      received.addAndGet(
                          part instanceof AnswerPart.Data data ? data.payload().length : 0));

      assertThatThrownBy(() -> slowlyRead.blockLast(TIMEOUT))
          .isInstanceOf(RequestFailedException.class);
      assertThat(received).hasValue(chunks);
    }
  }

  static Stream<Arguments> trickles() {
    return Stream.of(
        Arguments.of("HTTP/1.1 200 OK\r\nX-Padding: ", "x"), Arguments.of(CHUNKED_HEAD, CHUNK));
  }

  @ParameterizedTest
  @MethodSource("trickles")
  void endsCallAtDeadlineAlthoughAnswerTrickles(String start, String repeated) throws Exception {
    try (RawServer service = new RawServer()) {
      long startMs = MonotonicClock.nowMs();
      final CompletableFuture<AnswerPart> answer =
          new ServiceClient(traffic)
              .call(dispatch(service.address(), startMs + SHORT_CALL_MS), content())
              .last()
              .toFuture();
      RawServer.Connection accepted = service.accept();
      accepted.awaitReceived("\r\n\r\n");
      accepted.send(start);

      long openMs = accepted.sendUntilClosed(repeated, TRICKLE_PERIOD_MS, 4 * SHORT_CALL_MS);

      assertThat(openMs).as("time until the connection was closed").isLessThan(4 * SHORT_CALL_MS);
      assertThatThrownBy(() -> answer.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
          .cause()
          .isInstanceOfSatisfying(
              RequestFailedException.class,
              failure -> assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
      assertThat(MonotonicClock.nowMs() - startMs).isBetween(SHORT_CALL_MS, 4 * SHORT_CALL_MS);
    }
  }

  /** Sends chunks of one byte and ends the connection before the last chunk. */
  private static void breakOff(Socket socket, int chunks) throws IOException {
    RawTarget.readRequest(socket);
    RawTarget.write(socket, CHUNKED_HEAD + CHUNK.repeat(chunks));
  }

  private static Effect.Dispatch dispatch(String address, long deadlineMs) {
    return new Effect.Dispatch("r1-1", "r1", "t1", address, 5, deadlineMs, deadlineMs);
  }

  private static RequestContent content() {
    return new RequestContent("GET", "/", List.of(), new byte[0]);
  }
}
