package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Mono;

/** Tests that no server can make a client read without end. */
class EndlessTargetResponseTest extends AbstractRawTargetTest {

  private static final int REPETITIONS_PER_WRITE = 200;
  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final Duration STREAM_TIMEOUT = Duration.ofMillis(500);
  private static final int CLOSED_WITHIN_MS = 4_000;
  private static final int TRICKLE_PERIOD_MS = 100;
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

  /** A response that never ends: its start, and the bytes that are repeated after it. */
  private enum Endless {
    INTERIM_RESPONSES("", INTERIM),
    ERROR_BODY("HTTP/1.1 500 Error\r\n" + CHUNKED, "1\r\nx\r\n"),
    BODY("HTTP/1.1 200 OK\r\n" + CHUNKED, "1\r\nx\r\n"),
    COMMENTS("HTTP/1.1 200 OK\r\n" + CHUNKED, "4\r\n:x\n\n\r\n"),
    DATA_LINES("HTTP/1.1 200 OK\r\n" + CHUNKED, "8\r\ndata: x\n\r\n"),
    EVENTS_WITHOUT_ID("HTTP/1.1 200 OK\r\n" + CHUNKED, "9\r\ndata: x\n\n\r\n");

    private final String start;
    private final String repeated;

    Endless(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }
  }

  /** A call of a client that waits for a response. */
  private enum Call {
    RESUME,
    LOAD,
    CANCEL,
    GET
  }

  private final EngineClient engines = new EngineClient(resources, connections, STREAM_TIMEOUT);

  @ParameterizedTest
  @EnumSource(Endless.class)
  void endsGenerationWhoseResponseNeverEnds(Endless response) throws Exception {
    awaitEnd(Call.RESUME, response);
  }

  @ParameterizedTest
  @CsvSource({
    "LOAD, INTERIM_RESPONSES",
    "LOAD, ERROR_BODY",
    "LOAD, BODY",
    "CANCEL, INTERIM_RESPONSES",
    "CANCEL, ERROR_BODY",
    "CANCEL, BODY",
    "GET, INTERIM_RESPONSES",
    "GET, ERROR_BODY",
    "GET, BODY"
  })
  void endsCallWhoseResponseNeverEnds(Call call, Endless response) throws Exception {
    awaitEnd(call, response);
  }

  @Test
  void closesConnectionOfGenerationThatBringsOnlyComments() throws Exception {
    final CompletableFuture<?> result = begin(Call.RESUME).toFuture();
    RawServer.Connection accepted = server.accept();
    accepted.awaitReceived("\r\n\r\n");
    accepted.send(Endless.COMMENTS.start);
    assertThat(
            accepted.sendUntilClosed(
                Endless.COMMENTS.repeated, TRICKLE_PERIOD_MS, 2 * CLOSED_WITHIN_MS))
        .isLessThan(CLOSED_WITHIN_MS);
    assertThatExceptionOfType(ExecutionException.class)
        .isThrownBy(() -> result.get(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS));
  }

  private void awaitEnd(Call call, Endless response) throws Exception {
    final CompletableFuture<?> result = begin(call).toFuture();
    RawServer.Connection accepted = server.accept();
    accepted.awaitReceived("\r\n\r\n");
    accepted.send(response.start);

    assertThat(sendWithoutEnd(accepted, response.repeated)).isLessThan(CLOSED_WITHIN_MS);

    if (call != Call.CANCEL) {
      assertThatExceptionOfType(ExecutionException.class)
          .isThrownBy(() -> result.get(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS));
    }
  }

  private Mono<?> begin(Call call) {
    return switch (call) {
      case RESUME -> engines.resume("e1", server.address(), "r1", 0).then();
      case LOAD -> engines.load(server.address());
      case CANCEL -> engines.cancel("e1", server.address(), "r1");
      case GET -> http.get(server.address(), "/report", MonotonicClock.nowMs() + CALL_TIMEOUT_MS);
    };
  }

  /** Returns how long the client accepts repeated bytes, in milliseconds. */
  private static long sendWithoutEnd(RawServer.Connection connection, String repeated)
      throws InterruptedException {
    return connection.sendUntilClosed(
        repeated.repeat(REPETITIONS_PER_WRITE), 0, 2 * CLOSED_WITHIN_MS);
  }
}
