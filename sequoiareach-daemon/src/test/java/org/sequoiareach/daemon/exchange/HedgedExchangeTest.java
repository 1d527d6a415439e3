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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.dispatch.HedgeEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Tests what a caller and two targets see of two concurrent attempts at one request. */
class HedgedExchangeTest {

  private static final int TIMEOUT_MS = 5_000;
  private static final int LONG_BODY_BYTES = 400_000;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final List<Event> posted = new CopyOnWriteArrayList<>();
  private final TextWriter response = new TextWriter();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ServerSocket[] targets = new ServerSocket[2];
  private final Socket[] sockets = new Socket[2];
  private ProxyExchange exchange;

  @BeforeEach
  void sendBothAttempts() throws Exception {
    exchange = createExchange();
    for (int i = 0; i < 2; i++) {
      targets[i] = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
      targets[i].setSoTimeout(TIMEOUT_MS);
      DispatchEffect.SendCall send = sendCall(i + 1);
      boolean second = i == 1;
      onLoop(() -> start(send, second));
      sockets[i] = targets[i].accept();
      sockets[i].setSoTimeout(TIMEOUT_MS);
      readHead(sockets[i]);
    }
  }

  private void start(DispatchEffect.SendCall send, boolean second) {
    if (second) {
      exchange.sendHedge(send);
    } else {
      exchange.send(send);
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (int i = 0; i < 2; i++) {
      sockets[i].close();
      targets[i].close();
    }
    resources.dispose();
  }

  /** Guards against bodies that mix, and against a loser that goes on working. */
  @ParameterizedTest
  @CsvSource({"1, 100", "2, 100", "1, 400000", "2, 400000"})
  void deliversFirstCompleteAnswerAndAbortsOther(int winner, int bodyBytes) throws Exception {
    int loser = 3 - winner;
    write(loser, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + "l".repeat(99));
    write(
        winner,
        "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "w".repeat(bodyBytes));
    await(() -> response.text.toString().endsWith("finish"));
    assertClosed(loser);

    assertThat(response.text.toString()).isEqualTo("head 200 " + "w".repeat(bodyBytes) + "finish");
    assertThat(numbers(HedgeEvent.AttemptWon.class)).containsExactly(winner);
    assertThat(numbers(DispatchEvent.AnswerDelivered.class)).containsExactly(winner);
    assertThat(numbers(DispatchEvent.AttemptFailed.class)).isEmpty();
    assertThat(metrics.meter("answers.hedge-dropped").getCount()).isEqualTo(1);
  }

  /** Guards against an error that is delivered although an answer is on its way. */
  @ParameterizedTest
  @CsvSource({"1, 5", "2, 5", "1, 400000", "2, 400000"})
  void doesNotLetServerErrorWin(int failing, int bodyBytes) throws Exception {
    writeUntilClosed(
        failing,
        "HTTP/1.1 500 Broken\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "e".repeat(bodyBytes));
    await(() -> numbers(DispatchEvent.AttemptFailed.class).equals(List.of(failing)));
    assertThat(response.text).isEmpty();
    write(3 - failing, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    await(() -> response.text.toString().endsWith("finish"));

    assertThat(response.text.toString()).isEqualTo("head 200 okfinish");
    assertThat(numbers(HedgeEvent.AttemptWon.class)).isEmpty();
  }

  /** Guards against an answer that is lost with the connection of the other attempt. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void survivesLossOfOneConnection(int lost) throws Exception {
    sockets[lost - 1].close();
    await(() -> numbers(DispatchEvent.AttemptFailed.class).equals(List.of(lost)));
    write(3 - lost, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    await(() -> response.text.toString().endsWith("finish"));

    assertThat(response.text.toString()).isEqualTo("head 200 okfinish");
  }

  @Test
  void deliversHeldErrorAfterBothFailed() throws Exception {
    write(1, "HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\none");
    await(() -> numbers(DispatchEvent.AttemptFailed.class).size() == 1);
    write(2, "HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\ntwo");
    await(() -> numbers(DispatchEvent.AttemptFailed.class).size() == 2);
    onLoop(exchange::deliverHeldResponse);

    assertThat(response.text.toString()).isEqualTo("head 500 twofinish");
  }

  /** Guards against work at targets for a caller that has gone or got its refusal. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelsBothAttempts(boolean left) throws Exception {
    if (left) {
      onLoop(exchange::onCallerDisconnected);
    } else {
      onLoop(() -> exchange.refuse(Verdict.NOT_RUN, Reason.DEADLINE, "late", 0));
      assertThat(response.text.toString()).contains("may-have-run");
    }

    assertClosed(1);
    assertClosed(2);
  }

  /** Guards against a second attempt that starts after the caller was answered. */
  @Test
  void doesNotSendSecondAttemptOnceAnswerHasStarted() throws Exception {
    write(1, "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + "w".repeat(LONG_BODY_BYTES));
    await(() -> response.text.length() > LONG_BODY_BYTES);
    onLoop(() -> exchange.sendHedge(sendCall(3)));

    assertThat(numbers(HedgeEvent.AttemptWon.class)).containsExactly(1, 1);
    assertThat(numbers(DispatchEvent.AttemptFailed.class)).isEmpty();
  }

  /** Guards against a refusal of a request that one of two targets may have run. */
  @Test
  void keepsAttemptUnprovenWhenOtherIsRejected() throws Exception {
    write(2, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    await(() -> numbers(DispatchEvent.AttemptFailed.class).size() == 1);
    assertThat(posted)
        .filteredOn(DispatchEvent.AttemptFailed.class::isInstance)
        .allSatisfy(
            event ->
                assertThat(((DispatchEvent.AttemptFailed) event).fault())
                    .isNotEqualTo(AttemptFault.LOST));
    onLoop(() -> exchange.refuse(Verdict.NOT_RUN, Reason.NO_CAPACITY, "full", 300));

    assertThat(response.text.toString()).contains("may-have-run");
  }

  private ProxyExchange createExchange() {
    ProxyExchangeContext context =
        new ProxyExchangeContext(
            new StreamDialect(new NumberedEventStreamFormat(Set.of()), OptionalLong.empty(), false),
            new TargetConnectionManager(loop, resources),
            posted::add,
            metrics,
            loop,
            new SuspensionDetector(),
            new HashSet<>(),
            new HeldBytes(10_000_000));
    long nowMs = MonotonicClock.nowMs();
    CallProfile profile =
        new CallProfile(
            "r-1",
            "mill.example",
            "/status/1",
            Optional.empty(),
            nowMs,
            nowMs + TIMEOUT_MS,
            Optional.empty());
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/status/1");
    return new ProxyExchange(
        context, "r-1#1", profile, request, Unpooled.buffer(), response, () -> {});
  }

  private DispatchEffect.SendCall sendCall(int attempt) {
    int at = Math.min(attempt, 2) - 1;
    long untilMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    return new DispatchEffect.SendCall(
        "r-1#1",
        attempt,
        new RoutedTarget(
            "i-" + attempt, 1, "desk", "127.0.0.1:" + targets[at].getLocalPort(), "z1", 1, false),
        RouteKind.IDEMPOTENT,
        Optional.empty(),
        0,
        1,
        untilMs,
        untilMs,
        Optional.empty());
  }

  private List<Integer> numbers(Class<? extends DispatchEvent> type) {
    return posted.stream()
        .filter(type::isInstance)
        .map(
            event ->
                event instanceof HedgeEvent.AttemptWon won
                    ? won.attempt()
                    : event instanceof DispatchEvent.AttemptFailed failed
                        ? failed.attempt()
                        : ((DispatchEvent.AnswerDelivered) event).attempt())
        .toList();
  }

  private static void readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      head.append((char) socket.getInputStream().read());
    }
  }

  private void write(int attempt, String text) throws IOException {
    sockets[attempt - 1].getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Writes an answer that may be given up before its end, which closes the connection. */
  private void writeUntilClosed(int attempt, String text) {
    try {
      write(attempt, text);
    } catch (IOException e) {
      assertThat(e).hasMessageMatching("Broken pipe|Connection reset.*");
    }
  }

  private void assertClosed(int attempt) {
    try {
      assertThat(sockets[attempt - 1].getInputStream().read()).isEqualTo(-1);
    } catch (IOException e) {
      // The connection was reset with bytes unread, which ends it as well.
      assertThat(e).hasMessageContaining("reset");
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      assertThat(MonotonicClock.nowMs()).as("time while waiting").isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private void onLoop(Runnable action) throws Exception {
    loop.submit(action).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Records the response as text. */
  private static final class TextWriter implements ResponseWriter {

    private final StringBuffer text = new StringBuffer();

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {
      String verdict = headers.get("Sequoiareach-Verdict", "");
      text.append("head ").append(status.code()).append(' ').append(verdict);
    }

    @Override
    public void sendContent(ByteBuf part) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }

    @Override
    public void finish() {
      text.append("finish");
    }

    @Override
    public void abort() {
      text.append("abort");
    }

    @Override
    public void onWritabilityChanged(Consumer<Boolean> listener) {}
  }
}
