package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.upstream.ResponseFraming;
import org.sequoiareach.daemon.upstream.ResponseListener;
import org.sequoiareach.daemon.upstream.TargetConnection;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.Continuation;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Tests that an attempt which is reported as not sent has written nothing. */
class ProxyExchangeSendTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final long RESPONSE_MEMORY_BYTES = 120_000;
  private static final long LONG_MS = 60_000;

  /** Time in which a request would arrive at the server if it was sent. */
  private static final long ARRIVAL_MS = 200;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final AtomicLong wallClockStepMs = new AtomicLong();
  private final TargetConnectionManager connections = new TargetConnectionManager(loop, resources);
  private RawServer server;
  private ProxyExchange exchange;

  @BeforeEach
  void start() throws Exception {
    server = new RawServer();
    SuspensionDetector detector = new SuspensionDetector(() -> 0, wallClockStepMs::get);
    ProxyExchangeContext context =
        new ProxyExchangeContext(
            new PlainDialect(),
            connections,
            events::add,
            new MetricRegistry(),
            loop,
            detector,
            new HashSet<>(),
            new HeldBytes(RESPONSE_MEMORY_BYTES));
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
    exchange =
        onLoop(
            () ->
                new ProxyExchange(
                    context,
                    "c1",
                    new CallProfile(
                        "r1",
                        "host",
                        "/x",
                        Optional.empty(),
                        MonotonicClock.nowMs(),
                        MonotonicClock.nowMs() + LONG_MS,
                        Optional.empty()),
                    request,
                    Unpooled.copiedBuffer("body", StandardCharsets.ISO_8859_1),
                    new SilentWriter(),
                    () -> {}));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  @Test
  void sendsRequestWithinItsTime() throws Exception {
    onLoop(run(() -> exchange.send(sendCall(1, LONG_MS, LONG_MS))));

    server.accept().awaitReceived("attempt: 1");
    assertThat(events).isEmpty();
  }

  @Test
  void sendsNothingIfLoopStallsUntilSendDeadline() throws Exception {
    DispatchEffect.SendCall decided = sendCall(1, 100, LONG_MS);

    onLoop(
        run(
            () -> {
              sleep(200);
              exchange.send(decided);
            }));

    assertNotSent(AttemptFault.OUTDATED);
  }

  @Test
  void sendsNothingIfLoopStallsUntilSendDeadlineWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(sendCall(1, 100, LONG_MS));
              sleep(200);
            }));

    assertNotSent(AttemptFault.OUTDATED);
  }

  @Test
  void sendsNothingIfSuspendedWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(sendCall(1, LONG_MS, LONG_MS));
              wallClockStepMs.set(1_000);
            }));

    assertNotSent(AttemptFault.OUTDATED);
  }

  @Test
  void sendsNothingIfDeadlinePassesWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(sendCall(1, LONG_MS, 100));
              sleep(200);
            }));

    assertNotSent(AttemptFault.OUTDATED);
  }

  @Test
  void sendsNothingIfCallerLeavesWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(sendCall(1, LONG_MS, LONG_MS));
              exchange.onCallerDisconnected();
            }));

    assertThat(next()).isInstanceOf(DispatchEvent.CallerLeft.class);
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    assertThat(server.received()).isEmpty();
    assertThat(events).isEmpty();
  }

  @Test
  void sendsOnlyLatestAttemptIfAttemptIsSupersededWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(sendCall(1, LONG_MS, LONG_MS));
              exchange.send(sendCall(2, LONG_MS, LONG_MS));
            }));

    DispatchEvent.AttemptFailed failed = (DispatchEvent.AttemptFailed) next();
    assertThat(failed.attempt()).isEqualTo(1);
    assertThat(failed.fault()).isEqualTo(AttemptFault.OUTDATED);
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    assertThat(server.received()).contains("attempt: 2").doesNotContain("attempt: 1");
  }

  @ParameterizedTest
  @CsvSource({"-3600000, true", "-249, true", "249, true", "250, false", "3600000, false"})
  void sendsNothingAfterForwardStepOfWallClock(long stepMs, boolean sent) throws Exception {
    wallClockStepMs.set(stepMs);
    onLoop(run(() -> exchange.send(sendCall(1, LONG_MS, LONG_MS))));

    if (sent) {
      server.accept().awaitReceived("attempt: 1");
      assertThat(events).isEmpty();
    } else {
      assertNotSent(AttemptFault.OUTDATED);
    }
  }

  /** Guards against moved streams that are cut because of a clock step long before the move. */
  @ParameterizedTest
  @ValueSource(longs = {250, 3_600_000})
  void sendsContinuationDecidedAfterForwardStepOfWallClock(long stepMs) throws Exception {
    wallClockStepMs.set(stepMs);
    onLoop(run(() -> exchange.send(continuation(1))));

    server.accept().awaitReceived("attempt: 1");
    assertThat(events).isEmpty();
  }

  @Test
  void sendsNoContinuationIfSuspendedWhileConnecting() throws Exception {
    onLoop(
        run(
            () -> {
              exchange.send(continuation(1));
              wallClockStepMs.set(1_000);
            }));

    assertNotSent(AttemptFault.OUTDATED);
  }

  @Test
  void reportsFailureIfHeadersOfAttemptAreInvalid() throws Exception {
    onLoop(run(() -> exchange.send(sendCall(1, LONG_MS, LONG_MS, "two\nlines"))));

    assertThat(next()).isInstanceOf(DispatchEvent.AttemptFailed.class);
    assertThat(server.received()).isEmpty();
  }

  @Test
  void reportsLossIfServerResetsAfterPartOfRequest() throws Exception {
    onLoop(run(() -> exchange.send(sendCall(1, LONG_MS, LONG_MS))));
    RawServer.Connection accepted = server.accept();
    accepted.awaitReceived("attempt: 1");

    accepted.reset();

    assertThat(((DispatchEvent.AttemptFailed) next()).fault()).isEqualTo(AttemptFault.LOST);
  }

  /** Guards against attempts of which nothing was written and that are taken for possible runs. */
  @Test
  void sendsOnAnotherConnectionIfKeptOneWasResetBefore() throws Exception {
    RawServer.Connection kept = keepConnection();

    Future<?> sent =
        loop.submit(
            () -> {
              sleep(ARRIVAL_MS);
              exchange.send(sendCall(1, LONG_MS, LONG_MS));
            });
    kept.reset();
    sent.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

    server.accept().awaitReceived("attempt: 1");
    assertThat(events).isEmpty();
  }

  /** Leaves a connection in the pool that has carried a request. */
  private RawServer.Connection keepConnection() throws Exception {
    CompletableFuture<TargetConnection> acquired = new CompletableFuture<>();
    loop.execute(
        () ->
            connections.acquire(
                sendCall(1, LONG_MS, LONG_MS).target(),
                "r0",
                1,
                (connection, problem) -> acquired.complete(connection)));
    TargetConnection connection = acquired.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    KeepingListener listener = new KeepingListener(connection);
    onLoop(
        run(
            () ->
                connection.send(
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/first"),
                    Unpooled.EMPTY_BUFFER,
                    listener)));
    RawServer.Connection accepted = server.accept();
    accepted.awaitReceived("/first");
    accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    listener.completed.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    return accepted;
  }

  private void assertNotSent(AttemptFault fault) throws InterruptedException {
    DispatchEvent.AttemptFailed failed = (DispatchEvent.AttemptFailed) next();
    assertThat(failed).as("event of an attempt that was not sent").isNotNull();
    assertThat(failed.fault()).isEqualTo(fault);
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    assertThat(server.received()).isEmpty();
  }

  private Event next() throws InterruptedException {
    return events.poll(1, TimeUnit.SECONDS);
  }

  private DispatchEffect.SendCall continuation(int attempt) {
    return sendCall(
        attempt, LONG_MS, LONG_MS, "sawmill", Optional.of(new Continuation("10.0.0.1:1", "h1")));
  }

  private DispatchEffect.SendCall sendCall(int attempt, long sendWithinMs, long timeoutMs) {
    return sendCall(attempt, sendWithinMs, timeoutMs, "sawmill");
  }

  private DispatchEffect.SendCall sendCall(
      int attempt, long sendWithinMs, long timeoutMs, String organisation) {
    return sendCall(attempt, sendWithinMs, timeoutMs, organisation, Optional.empty());
  }

  private DispatchEffect.SendCall sendCall(
      int attempt,
      long sendWithinMs,
      long timeoutMs,
      String organisation,
      Optional<Continuation> continuation) {
    long nowMs = MonotonicClock.nowMs();
    return new DispatchEffect.SendCall(
        "c1",
        attempt,
        new RoutedTarget("i-1", 1, "desk", server.address(), "z1", 1, false),
        RouteKind.NON_IDEMPOTENT,
        Optional.of(organisation),
        attempt,
        10,
        nowMs + sendWithinMs,
        nowMs + timeoutMs,
        continuation);
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static Callable<Void> run(Runnable task) {
    return () -> {
      task.run();
      return null;
    };
  }

  private static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Lets a connection be reused after a complete response. */
  private static final class KeepingListener implements ResponseListener {

    private final TargetConnection connection;
    private final CompletableFuture<Void> completed = new CompletableFuture<>();

    private KeepingListener(TargetConnection connection) {
      this.connection = connection;
    }

    @Override
    public void onHead(HttpResponse response) {
      connection.setReusableUntil(MonotonicClock.nowMs() + LONG_MS);
    }

    @Override
    public void onContent(ByteBuf part) {}

    @Override
    public void onComplete(ResponseFraming framing) {
      completed.complete(null);
    }

    @Override
    public void onFailure(String detail) {}

    @Override
    public void onDisconnected(String detail) {}

    @Override
    public void onNotSent(String detail) {}
  }

  /** Dialect that states the number of the attempt, which the test passes as its priority. */
  private static final class PlainDialect implements CallDialect {

    @Override
    public CallProfile readRequest(HttpRequest request, long nowMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    public OptionalLong findLastEventId(HttpHeaders headers) {
      return OptionalLong.empty();
    }

    @Override
    public void setAttemptHeaders(HttpHeaders headers, AttemptMetadata attempt) {
      headers.set("attempt", attempt.priority());
      attempt.organisation().ifPresent(name -> headers.set("organisation", name));
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
    public void setRetryAfter(HttpHeaders headers, long delayMs) {}
  }

  /** Writer of a response that no test looks at. */
  private static final class SilentWriter implements ResponseWriter {

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {}

    @Override
    public void sendContent(ByteBuf part) {
      part.release();
    }

    @Override
    public void finish() {}

    @Override
    public void abort() {}

    @Override
    public void onWritabilityChanged(Consumer<Boolean> listener) {}
  }
}
