package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.http.HttpCallException;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Mono;

/** Tests that no client takes a response that is not valid by RFC 9112. */
class MalformedTargetResponseTest extends AbstractRawTargetTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final int LENGTH_OF_BODY_NOT_SENT = 5;

  /** A call of a client, and the body of a response that it accepts. */
  private enum Call {
    GENERATE("id: 1\ndata: {}\n\ndata: [DONE]\n\n"),
    RESUME("id: 1\ndata: {}\n\ndata: [DONE]\n\n"),
    CANCEL(""),
    LOAD("{\"totalBlocks\":1,\"blockTokens\":1,\"models\":[]}"),
    SERVICE("ok"),
    HEAD(""),
    GET("ok"),
    LINES("ok\n");

    private final String body;

    Call(String body) {
      this.body = body;
    }

    /** Returns a response, in whose head a character stands for the length of the body. */
    String response(String head) {
      int length = this == HEAD ? LENGTH_OF_BODY_NOT_SENT : body.length();
      return head.replace("@", Integer.toString(length)) + "\r\n\r\n" + body;
    }
  }

  private static final List<String> MALFORMED_HEADS =
      List.of(
          "HTTP/1.1 000 Trouble\r\nContent-Length: @",
          "HTTP/1.1 0200 OK\r\nContent-Length: @",
          "HTTP/1.1 +200 OK\r\nContent-Length: @",
          "HTTP/1.1 0404 Not Found\r\nContent-Length: @",
          "HTTP/1.1 999 Trouble\r\nContent-Length: @",
          "HTTP/1.1 200 O\u0001K\r\nContent-Length: @",
          "HTTP/1.2 200 OK\r\nContent-Length: @",
          "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: @",
          "HTTP/1.1 200 OK\r\nContent-Length X: @",
          "HTTP/1.1 404 Not Found\r\nX Y: 1\r\nContent-Length: @",
          "HTTP/1.1 503 Busy\r\nContent-Length: @\r\nRetry-After X: 3",
          "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: @");

  private static final List<String> SOUND_HEADS =
      List.of(
          "HTTP/1.1 200 OK\r\nContent-Length: @",
          "HTTP/1.1 200\r\nX-A:\r\nContent-Length: @",
          "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: @");

  private final EngineClient engines = new EngineClient(resources, connections);
  private final ServiceClient services = new ServiceClient(resources);

  static Stream<Arguments> malformedHeads() {
    return Stream.of(Call.values())
        .flatMap(call -> MALFORMED_HEADS.stream().map(head -> Arguments.of(call, head)));
  }

  static Stream<Arguments> soundHeads() {
    return Stream.of(Call.values())
        .flatMap(call -> SOUND_HEADS.stream().map(head -> Arguments.of(call, head)));
  }

  @ParameterizedTest
  @MethodSource("malformedHeads")
  void failsOnMalformedHead(Call call, String head) throws Exception {
    failsAndCloses(call, call.response(head));
  }

  @ParameterizedTest
  @MethodSource("malformedBodies")
  void failsOnMalformedChunks(Call call, String chunks) throws Exception {
    failsAndCloses(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
  }

  static Stream<Arguments> malformedBodies() {
    return Stream.of(Call.GENERATE, Call.RESUME, Call.LOAD, Call.SERVICE, Call.GET)
        .flatMap(
            call ->
                Stream.of(
                    Arguments.of(call, RawServer.chunk(call.body) + "0\r\nX Y: 1\r\n\r\n"),
                    Arguments.of(call, RawServer.chunk(call.body) + "0\u0001\r\n\r\n"),
                    Arguments.of(call, " " + RawServer.chunk(call.body) + "0\r\n\r\n")));
  }

  @ParameterizedTest
  @MethodSource("soundHeads")
  void acceptsSoundHead(Call call, String head) throws Exception {
    CompletableFuture<?> result = begin(call).toFuture();
    acceptRequest().send(call.response(head));

    result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void failsAndCloses(Call call, String response) throws Exception {
    final CompletableFuture<?> result = begin(call).toFuture();
    RawServer.Connection connection = acceptRequest();
    connection.send(response);

    assertThatThrownBy(() -> result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
        .cause()
        .satisfies(MalformedTargetResponseTest::leavesOpenWhetherCallHasRun);
    connection.awaitClosed();
  }

  private static void leavesOpenWhetherCallHasRun(Throwable failure) {
    if (failure instanceof RequestFailedException attempt) {
      assertThat(attempt.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    } else if (failure instanceof HttpCallException call) {
      assertThat(call.sent()).isTrue();
    }
    assertThat(failure).hasMessageContaining("is invalid");
  }

  private RawServer.Connection acceptRequest() throws InterruptedException {
    RawServer.Connection connection = server.accept();
    connection.awaitReceived("\r\n\r\n");
    return connection;
  }

  private Mono<?> begin(Call call) {
    return switch (call) {
      case GENERATE -> engines.generate(dispatch(), content("POST")).then();
      case RESUME -> engines.resume("t1", server.address(), "r1", 0).then();
      case CANCEL -> engines.cancel("t1", server.address(), "r1");
      case LOAD -> engines.load(server.address());
      case SERVICE -> services.call(dispatch(), content("GET")).then();
      case HEAD -> services.call(dispatch(), content("HEAD")).then();
      case GET -> http.get(server.address(), "/", MonotonicClock.nowMs() + TIMEOUT_MS);
      case LINES -> http.postForLines(server.address(), "/", "{}").then();
    };
  }

  private Effect.Dispatch dispatch() {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    return new Effect.Dispatch("r1-1", "r1", "t1", server.address(), 5, deadlineMs, deadlineMs);
  }

  private static RequestContent content(String method) {
    return new RequestContent(method, "/", List.of(), "{}".getBytes());
  }
}
