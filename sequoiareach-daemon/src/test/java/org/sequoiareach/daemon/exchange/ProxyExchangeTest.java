package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.sse.UnnumberedEventStreamFormat;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.Continuation;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Tests what a caller receives when decisions arrive later than the state of its answer. */
class ProxyExchangeTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final long RESPONSE_MEMORY_BYTES = 120_000;

  /** Time in which what a target sends is processed. */
  private static final long ARRIVAL_MS = 300;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final List<Event> posted = new CopyOnWriteArrayList<>();
  private final RecordingWriter response = new RecordingWriter();
  private ServerSocket target;
  private ProxyExchange exchange;

  @BeforeEach
  void start() throws Exception {
    target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    target.setSoTimeout((int) TIMEOUT_MS);
    exchange = createExchange(new NumberedEventStreamFormat(Set.of()));
  }

  private ProxyExchange createExchange(EventStreamFormat format) {
    ProxyExchangeContext context =
        new ProxyExchangeContext(
            new StreamDialect(format, OptionalLong.empty()),
            new TargetConnectionManager(loop, resources),
            posted::add,
            new MetricRegistry(),
            loop,
            new SuspensionDetector(),
            new HashSet<>(),
            new HeldBytes(RESPONSE_MEMORY_BYTES));
    long nowMs = MonotonicClock.nowMs();
    CallProfile profile =
        new CallProfile(
            "r-1",
            "mill.example",
            "/booking/1",
            Optional.empty(),
            nowMs,
            nowMs + TIMEOUT_MS,
            Optional.empty());
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/booking/1");
    return new ProxyExchange(
        context, "r-1#1", profile, request, Unpooled.buffer(), response, () -> {});
  }

  @AfterEach
  void stop() throws Exception {
    target.close();
    resources.dispose();
  }

  @Test
  void doesNotReportNotRunWhileRequestIsAtTarget() throws Exception {
    onLoop(() -> exchange.send(sendCall(RouteKind.NON_IDEMPOTENT)));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();

      onLoop(() -> exchange.refuse(Verdict.NOT_RUN, Reason.NO_CAPACITY, "no capacity", 300));
    }

    assertThat(response.events)
        .containsExactly("head 502 verdict=may-have-run retry=false", "content", "finish");
  }

  @Test
  void doesNotSendRequestAgainWhileItIsAtTarget() throws Exception {
    onLoop(() -> exchange.send(sendCall(RouteKind.NON_IDEMPOTENT)));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();

      onLoop(() -> exchange.send(sendCall(RouteKind.NON_IDEMPOTENT)));

      assertThat(posted).hasSize(1);
      DispatchEvent.AttemptFailed failed = (DispatchEvent.AttemptFailed) posted.get(0);
      assertThat(failed.fault().mayHaveRun()).isTrue();
      assertThat(failed.detail()).startsWith("not sent");
    }
  }

  @Test
  void reportsNotRunBeforeRequestIsSent() throws Exception {
    onLoop(() -> exchange.refuse(Verdict.NOT_RUN, Reason.NO_CAPACITY, "no capacity", 300));

    assertThat(response.events)
        .containsExactly("head 503 verdict=not-run retry=true", "content", "finish");
  }

  @Test
  void doesNotWriteSecondResponseHeadWhenRefusedAfterAnswerStarted() throws Exception {
    onLoop(
        () -> {
          AttemptResponseHandler attempt =
              new AttemptResponseHandler(exchange, sendCall(RouteKind.STREAMING));
          ByteBuf event = Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.UTF_8);
          exchange.forwardBlock(attempt, EventBlock.parse(event));
          exchange.refuse(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "too late", 0);
        });

    assertThat(response.events).containsExactly("head 200 verdict=null", "content", "abort");
  }

  @Test
  void doesNotContinueRunThatEndsWhileItsContinuationWaits() throws Exception {
    onLoop(() -> exchange.send(sendCall(RouteKind.STREAMING)));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();
      onLoop(
          () -> {
            write(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
            exchange.send(continuation());
          });

      target.setSoTimeout(300);
      assertThatThrownBy(() -> target.accept()).isInstanceOf(SocketTimeoutException.class);
    }
    assertThat(response.events).containsExactly("head 200 verdict=null", "content", "finish");
  }

  /** Guards against events without end that use up the memory, so that nobody is answered. */
  @ParameterizedTest
  @CsvSource({"80000, true", "100000, false"})
  void failsAttemptWhoseEventLeavesOthersNoMemory(int eventBytes, boolean held) throws Exception {
    onLoop(() -> exchange.send(sendCall(RouteKind.STREAMING)));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();
      write(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
      write(accepted, "x".repeat(eventBytes));
      TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);

      assertThat(posted).hasSize(held ? 0 : 1);
      assertThat(posted)
          .allSatisfy(
              event ->
                  assertThat(((DispatchEvent.AttemptFailed) event).detail())
                      .contains("leave no memory"));
    }
  }

  /** Guards against events that were made at the source, but reach the caller from no engine. */
  @ParameterizedTest
  @CsvSource({"1, true", "2, false", "7, false"})
  void continuesRunWithoutEventOnlyAtItsFirst(long firstId, boolean forwarded) throws Exception {
    onLoop(() -> exchange.send(continuation()));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();
      write(
          accepted,
          "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: " + firstId + "\ndata: a\n\n");
      TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    }

    assertThat(response.events.contains("content")).isEqualTo(forwarded);
    assertThat(posted)
        .filteredOn(DispatchEvent.AttemptFailed.class::isInstance)
        .hasSize(forwarded ? 0 : 1)
        .allSatisfy(
            event -> assertThat(((DispatchEvent.AttemptFailed) event).detail()).contains("gap"));
  }

  /** Guards against events without an id that the caller receives from both engines. */
  @Test
  void doesNotContinueRunAfterEventWithoutId() throws Exception {
    exchange = createExchange(new UnnumberedEventStreamFormat());
    onLoop(() -> exchange.send(sendCall(RouteKind.STREAMING)));
    try (Socket accepted = target.accept()) {
      assertThat(accepted.getInputStream().read()).isPositive();
      write(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\ndata: a\n\n");
      TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
      onLoop(() -> exchange.send(continuation()));

      target.setSoTimeout((int) ARRIVAL_MS);
      assertThatThrownBy(() -> target.accept()).isInstanceOf(SocketTimeoutException.class);
    }
    assertThat(posted).last().isInstanceOf(DispatchEvent.AttemptFailed.class);
  }

  /** Guards against two attempts at once, whose events would mix. */
  @Test
  void sendsOnlyLatestOfContinuationsThatWaitForTheSameSource() throws Exception {
    onLoop(() -> exchange.send(sendCall(RouteKind.STREAMING)));
    try (Socket source = target.accept()) {
      assertThat(source.getInputStream().read()).isPositive();
      onLoop(
          () -> {
            exchange.send(continuation(2));
            exchange.send(continuation(3));
          });
      try (Socket latest = target.accept()) {
        assertThat(latest.getInputStream().read()).isPositive();
        write(latest, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
      }
    }

    assertThat(response.events).containsExactly("head 200 verdict=null", "content", "finish");
    assertThat(posted)
        .filteredOn(DispatchEvent.AnswerDelivered.class::isInstance)
        .singleElement()
        .satisfies(
            event -> assertThat(((DispatchEvent.AnswerDelivered) event).attempt()).isEqualTo(3));
  }

  private DispatchEffect.SendCall continuation() {
    return continuation(2);
  }

  private DispatchEffect.SendCall continuation(int attempt) {
    DispatchEffect.SendCall first = sendCall(RouteKind.STREAMING);
    return new DispatchEffect.SendCall(
        first.callId(),
        attempt,
        first.target(),
        first.kind(),
        first.organisation(),
        first.priority(),
        2,
        first.sendByMs(),
        first.deadlineMs(),
        Optional.of(new Continuation(first.target().address(), "h1")));
  }

  private static void write(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private DispatchEffect.SendCall sendCall(RouteKind kind) {
    long nowMs = MonotonicClock.nowMs();
    RoutedTarget at =
        new RoutedTarget("i-1", 1, "desk", "127.0.0.1:" + target.getLocalPort(), "z1", 1, false);
    return new DispatchEffect.SendCall(
        "r-1#1",
        1,
        at,
        kind,
        Optional.empty(),
        0,
        1,
        nowMs + TIMEOUT_MS,
        nowMs + TIMEOUT_MS,
        Optional.empty());
  }

  private void onLoop(Runnable action) throws Exception {
    loop.submit(action).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Records the calls as text. */
  private static final class RecordingWriter implements ResponseWriter {

    private final List<String> events = new CopyOnWriteArrayList<>();

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
      String verdict = headers.get("Sequoiareach-Verdict");
      String retry = verdict == null ? "" : " retry=" + headers.contains("Retry-After");
      events.add("head " + status.code() + " verdict=" + verdict + retry);
    }

    @Override
    public void sendContent(ByteBuf part) {
      events.add("content");
      part.release();
    }

    @Override
    public void finish() {
      events.add("finish");
    }

    @Override
    public void abort() {
      events.add("abort");
    }

    @Override
    public void onWritabilityChanged(Consumer<Boolean> listener) {}
  }
}
