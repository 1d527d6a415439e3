package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Tests the end of responses that a caller is slow to read. */
class SlowCallerTest {

  private static final long TIMEOUT_MS = 5_000;

  /** More than the sockets of both sides hold. */
  private static final int LARGE_BYTES = 32 << 20;

  /** Longer than a connection lingers after its last response. */
  private static final long SLOW_MS = 1_600;

  private static final int STEPS = 16;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final BlockingQueue<ResponseWriter> responses = new LinkedBlockingQueue<>();
  private final MetricRegistry metrics = new MetricRegistry();
  private final GatewayHttpServer server =
      new GatewayHttpServer(
          new PlainDialect(),
          this::handle,
          metrics,
          loop,
          MemoryAccount.ofProcess(),
          ClientLimits.DEFAULT);
  private Channel channel;
  private Socket caller;

  @BeforeEach
  void start() throws IOException {
    channel = server.accept(GatewayHttpServer.bind(new InetSocketAddress("127.0.0.1", 0)));
    caller = connect("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    channel.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  @Test
  void deliversLastResponseOfConnectionCompletely() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    respond(response);
    TimeUnit.MILLISECONDS.sleep(SLOW_MS);

    assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_BYTES);
  }

  @Test
  void doesNotCountTimeInWhichCallerTakesResponseAsIdle() throws Exception {
    limitIdleTimeMs(SLOW_MS / 4);
    try (Socket keptAlive = connect("GET /x HTTP/1.1\r\n\r\n")) {
      responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      respond(response);
      int bytes = 0;
      for (int i = 0; i < STEPS; i++) {
        bytes += keptAlive.getInputStream().readNBytes(LARGE_BYTES / STEPS).length;
        TimeUnit.MILLISECONDS.sleep(SLOW_MS / STEPS);
      }

      assertThat(bytes).isEqualTo(LARGE_BYTES);
    }
  }

  @Test
  void keepsUnsentResponseWhenIdleConnectionsAreClosed() throws Exception {
    try (Socket keptAlive = connect("GET /x HTTP/1.1\r\n\r\n")) {
      responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      respond(response);
      server.closeIdle();

      assertThat(keptAlive.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_BYTES);
    }
  }

  @Test
  void closesConnectionOfAbortedResponseThatCallerDoesNotRead() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(
        () -> {
          response.sendHead(
              HttpResponseStatus.OK, new DefaultHttpHeaders(), OptionalLong.of(2L * LARGE_BYTES));
          response.sendContent(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
          response.abort();
        });
    TimeUnit.MILLISECONDS.sleep(SLOW_MS);

    // A closed connection does not send what it had not yet written.
    assertThat(caller.getInputStream().readAllBytes()).hasSizeLessThan(LARGE_BYTES);
  }

  @Test
  void countsAnswerThatCallerLeftBeforeItWasWritten() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(() -> startLargeResponse(response));
    onLoop(response::finish);

    caller.close();

    assertCounted("caller-left");
  }

  @Test
  void countsFinishedAnswerThatIsUnsentAsProcessEnds() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(() -> startLargeResponse(response));
    onLoop(response::finish);

    server.closeIdle();
    server.logProcessEnd();

    assertCounted("process-end");
  }

  @ParameterizedTest
  @CsvSource({
    "NOT_READY,drain-deadline",
    "DEADLINE,deadline",
    "TARGET_FAILED,attempt-failed",
    "NO_CAPACITY,other-cut"
  })
  void countsAnswerThatWasCutByItsReason(Reason reason, String path) throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(() -> startLargeResponse(response));
    onLoop(() -> response.abort(reason));

    assertCounted(path);
  }

  @Test
  void countsAnswerThatEndOfProcessInterrupts() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(() -> startLargeResponse(response));

    server.logProcessEnd();

    assertCounted("process-end");
  }

  @Test
  void countsNothingForAnswerThatCallerReadWhole() throws Exception {
    ResponseWriter response = responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    onLoop(() -> startLargeResponse(response));
    onLoop(response::finish);

    assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_BYTES);
    server.logProcessEnd();

    assertThat(metrics.getMeters()).isEmpty();
  }

  private static void startLargeResponse(ResponseWriter response) {
    response.sendHead(
        HttpResponseStatus.OK, new DefaultHttpHeaders(), OptionalLong.of(LARGE_BYTES));
    response.sendContent(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
  }

  private void assertCounted(String path) throws Exception {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (metrics.getMeters().isEmpty() && MonotonicClock.nowMs() < deadlineMs) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(metrics.getMeters()).containsOnlyKeys("answers.cut." + path);
    assertThat(metrics.meter("answers.cut." + path).getCount()).isEqualTo(1);
  }

  private Runnable handle(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response) {
    body.release();
    responses.add(response);
    return () -> {};
  }

  private Socket connect(String request) throws IOException {
    Socket socket = new Socket();
    socket.connect(channel.localAddress());
    socket.setSoTimeout((int) TIMEOUT_MS);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private void respond(ResponseWriter response) throws Exception {
    onLoop(
        () -> {
          startLargeResponse(response);
          response.finish();
        });
  }

  private void limitIdleTimeMs(long idleTimeMs) {
    CallerLimits limits = CallerLimits.INITIAL;
    server.handle(
        new DispatchEffect.UseRoutingSheet(
            new RoutingSheet(
                1,
                1,
                List.of(),
                List.of(),
                new CallerLimits(
                    limits.headerBytes(), limits.bodyBytes(), limits.headerTimeoutMs(), idleTimeMs),
                List.of())));
  }

  private void onLoop(Runnable task) throws Exception {
    loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Dialect of requests that state nothing. */
  private static final class PlainDialect implements CallDialect {

    @Override
    public CallProfile readRequest(HttpRequest request, long nowMs) {
      return new CallProfile(
          "a", "host", request.uri(), Optional.empty(), nowMs, nowMs, Optional.empty());
    }

    @Override
    public OptionalLong findLastEventId(HttpHeaders headers) {
      return OptionalLong.empty();
    }

    @Override
    public void setAttemptHeaders(HttpHeaders headers, AttemptMetadata attempt) {
      throw new UnsupportedOperationException();
    }

    @Override
    public AnswerHead readAnswer(HttpResponse answer, long nowMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    public EventStreamFormat eventStreamFormat(RouteKind kind) {
      return new NumberedEventStreamFormat(Set.of());
    }

    @Override
    public void setRetryAfter(HttpHeaders headers, long delayMs) {
      throw new UnsupportedOperationException();
    }
  }
}
