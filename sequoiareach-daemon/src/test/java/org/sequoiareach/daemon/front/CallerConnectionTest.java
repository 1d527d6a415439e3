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
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.dialect.InvalidCallException;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.model.route.CallerLimits;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Tests that each request is handed over once and gets its own response, or is not handed over. */
class CallerConnectionTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final int HEADER_BYTES = 1_000;
  private static final int BODY_BYTES = 100;
  private static final int BODY_MEMORY_BYTES = 160;
  private static final long HEADER_TIMEOUT_MS = 300;
  private static final long IDLE_TIMEOUT_MS = 3_000;

  /** Time in which a request would be handed over if it was read. */
  private static final long ARRIVAL_MS = 200;

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final BlockingQueue<Handed> handed = new LinkedBlockingQueue<>();
  private final List<String> handedIds = new CopyOnWriteArrayList<>();
  private final AtomicInteger disconnects = new AtomicInteger();
  private final GatewayHttpServer server =
      new GatewayHttpServer(
          new PlainDialect(),
          this::handle,
          new MetricRegistry(),
          loop,
          MemoryAccount.withBodies(new HeldBytes(BODY_MEMORY_BYTES)),
          ClientLimits.DEFAULT);
  private Channel channel;
  private Socket caller;

  /** A request that was handed over. */
  private record Handed(String id, String body, int buffers, ResponseWriter response) {}

  @BeforeEach
  void start() throws IOException {
    server.handle(
        new DispatchEffect.UseRoutingSheet(
            new RoutingSheet(
                1,
                1,
                List.of(),
                List.of(),
                new CallerLimits(HEADER_BYTES, BODY_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS),
                List.of())));
    channel = server.accept(GatewayHttpServer.bind(new InetSocketAddress("127.0.0.1", 0)));
    caller = new Socket();
    caller.connect(channel.localAddress());
    caller.setSoTimeout((int) TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    channel.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 10_000})
  void handsOverPipelinedRequestsOnceAndInOrder(int segmentBytes) throws Exception {
    String requests = chunked("a") + withLength("b") + chunked("c") + withLength("d");

    sendInSegments(requests, segmentBytes);

    StringBuilder expected = new StringBuilder();
    for (String id : List.of("a", "b", "c", "d")) {
      Handed next = next();
      assertThat(next.id()).isEqualTo(id);
      assertThat(next.body()).isEqualTo("body-" + id);
      assertThat(handed).isEmpty();
      respond(next, id);
      expected.append(id);
    }
    assertThat(readBodies(4)).isEqualTo(expected.toString());
    assertThat(handedIds).containsExactly("a", "b", "c", "d");
  }

  @Test
  void writesNothingOfEndedResponseIntoNextOne() throws Exception {
    send(withLength("a") + withLength("b"));
    final Handed first = next();
    respond(first, "first");
    final Handed second = next();

    onLoop(
        () -> {
          first.response().sendHead(HttpResponseStatus.SERVICE_UNAVAILABLE, headers(), length(4));
          first.response().sendContent(text("late"));
          first.response().finish();
          first.response().abort();
        });
    respond(second, "second");

    assertThat(readBodies(2)).isEqualTo("firstsecond");
    assertThat(handedIds).containsExactly("a", "b");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 6\\r\\n\\r\\nbody",
        "Transfer-Encoding: chunked\\r\\n\\r\\n6\\r\\nbody-a\\r\\n",
        "Transfer-Encoding: chunked\\r\\n\\r\\n6\\r\\nbody-a\\r\\n0\\r\\n",
        "Content-Length: 0\\r\\n"
      })
  void doesNotHandOverRequestWhoseConnectionClosesWhileItIsRead(String part) throws Exception {
    send("POST /x HTTP/1.1\r\nid: a\r\n" + unescape(part));
    caller.close();

    assertNothingHandedOver();
    assertThat(disconnects).hasValue(0);
  }

  @ParameterizedTest
  @CsvSource({
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nContent-Length: 6\\r\\n\\r\\nbo', dy-a, 408",
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nContent-Le', 'ngth: 0\\r\\n\\r\\n', 408",
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nContent-Length: 101\\r\\n\\r\\n', '%LONG%', 413",
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n65\\r\\n%LONG%\\r\\n',"
        + " '0\\r\\n\\r\\n', 413",
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nX-Long: %LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%"
        + "%LONG%%LONG%', '\\r\\nContent-Length: 0\\r\\n\\r\\n', 431",
    "'POST /%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG%%LONG% HTTP/1.1',"
        + " '\\r\\nid: a\\r\\nContent-Length: 0\\r\\n\\r\\n', 431",
    "'POST /x HTTP/1.1\\r\\nid: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n',"
        + " '0\\r\\n\\r\\n', 400",
    "'POST /x HTTP/1.1\\r\\nContent-Length: 6\\r\\n\\r\\n', 'body-a', 400"
  })
  void neverHandsOverRequestThatWasRejectedNorThoseBehindIt(String part, String rest, int status)
      throws Exception {
    send(unescape(part));

    assertThat(readUntil("\r\n\r\n")).startsWith("HTTP/1.1 " + status);

    send(unescape(rest) + withLength("b"));
    assertNothingHandedOver();
  }

  @Test
  void rejectsPipelinedRequestOnlyAfterResponseToPreviousOne() throws Exception {
    send(withLength("a") + "POST /x HTTP/1.1\r\nid: b\r\nContent-Length: 101\r\n\r\n");
    final Handed first = next();
    TimeUnit.MILLISECONDS.sleep(HEADER_TIMEOUT_MS + ARRIVAL_MS);

    respond(first, "first");

    assertThat(readUntil("are too long\n|bytes\n")).matches("(?s).* 200 .*first.* 413 .*");
    assertThat(handedIds).containsExactly("a");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void handsOverNothingAfterLastResponseOfConnection(boolean pipelined) throws Exception {
    String first = withLength("a").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    send(pipelined ? first + withLength("b") : first);
    respond(next(), "last");
    assertThat(readUntil("last")).contains("HTTP/1.1 200");

    sendIgnoringReset(withLength("c"));

    assertNothingHandedOver("a");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void handsOverNothingAfterAbortedResponse(boolean pipelined) throws Exception {
    send(pipelined ? withLength("a") + withLength("b") : withLength("a"));
    Handed first = next();
    onLoop(
        () -> {
          first.response().sendHead(HttpResponseStatus.OK, headers(), length(100));
          first.response().sendContent(text("part"));
          first.response().abort();
        });

    sendIgnoringReset(withLength("c"));

    assertNothingHandedOver("a");
    assertThat(disconnects).hasValue(0);
  }

  @Test
  void handsOverNothingElseWhenCallerLeavesDuringResponse() throws Exception {
    send(withLength("a") + withLength("b") + "POST /x HTTP/1.1\r\nid: c\r\n");
    Handed first = next();

    caller.close();

    awaitDisconnects(1);
    respond(first, "late");
    assertNothingHandedOver("a");
    assertThat(disconnects).hasValue(1);
  }

  /**
   * Guards against a body in tiny chunks that ends the process, as each chunk costs its objects.
   */
  @Test
  void mergesChunksOfBody() throws Exception {
    send("POST /x HTTP/1.1\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 25; i++) {
      send("4\r\nbody\r\n");
    }
    send("0\r\n\r\n");

    Handed merged = next();

    assertThat(merged.body()).isEqualTo("body".repeat(25));
    assertThat(merged.buffers()).isEqualTo(1);
  }

  /** Guards against large bodies at once that use up the memory, so that nobody is answered. */
  @ParameterizedTest
  @ValueSource(
      strings = {"Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n64\r\n%LONG%"})
  void refusesBodyForWhichOthersLeaveNoMemory(String large) throws Exception {
    try (Socket other = new Socket()) {
      other.connect(channel.localAddress());
      other
          .getOutputStream()
          .write(
              ("POST /x HTTP/1.1\r\nid: o\r\nContent-Length: 100\r\n\r\n" + "o".repeat(100))
                  .getBytes(StandardCharsets.ISO_8859_1));
      final Handed holder = next();

      send("POST /x HTTP/1.1\r\nid: a\r\n" + unescape(large));

      assertThat(readUntil("leave no memory for this one\n"))
          .startsWith("HTTP/1.1 503")
          .contains("retry-after-ms: ")
          .containsIgnoringCase("sequoiareach-verdict: not-run");
      respond(holder, "done");
      other.getOutputStream().write(withLength("b").getBytes(StandardCharsets.ISO_8859_1));
      assertThat(next().body()).isEqualTo("body-b");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /x HTTP/1.1\\r\\nid: a\\r\\nContent-Le",
        "POST /x HTTP/1.1\\r\\nid: a\\r\\nContent-Length: 6\\r\\n\\r\\nbo"
      })
  void refusesRequestThatIsReadWhenServerCloses(String part) throws Exception {
    send(unescape(part));
    TimeUnit.MILLISECONDS.sleep(HEADER_TIMEOUT_MS / 3);
    server.closeIdle();

    String response =
        new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    assertThat(response).startsWith("HTTP/1.1 503").contains("retry-after-ms");
    assertThat(handed).isEmpty();
  }

  @Test
  void returnsMemoryOfCallersThatLeave() throws Exception {
    for (String id : List.of("a", "b", "c")) {
      try (Socket leaver = new Socket()) {
        leaver.connect(channel.localAddress());
        String head = "POST /x HTTP/1.1\r\nid: " + id + "\r\nContent-Length: 100\r\n\r\n";
        leaver.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
      }
    }
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);

    send("POST /x HTTP/1.1\r\nid: d\r\nContent-Length: 100\r\n\r\n" + "d".repeat(100));

    assertThat(next().id()).isEqualTo("d");
  }

  @Test
  void keepsServingConnectionOfCallerWhoseResponseBeganBeforeDrain() throws Exception {
    send(withLength("a"));
    Handed first = next();
    onLoop(() -> first.response().sendHead(HttpResponseStatus.OK, headers(), OptionalLong.empty()));

    server.drain();
    onLoop(() -> first.response().finish());
    send(withLength("b"));
    respond(next(), "second");

    assertThat(readUntil("second")).contains("connection: close");
    sendIgnoringReset(withLength("c"));
    assertNothingHandedOver("a", "b");
  }

  private Runnable handle(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response) {
    handedIds.add(profile.requestId());
    handed.add(
        new Handed(
            profile.requestId(),
            body.toString(StandardCharsets.ISO_8859_1),
            body.nioBufferCount(),
            response));
    body.release();
    return disconnects::incrementAndGet;
  }

  private Handed next() throws InterruptedException {
    Handed next = handed.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(next).as("the next request handed over").isNotNull();
    return next;
  }

  private void respond(Handed request, String body) throws Exception {
    onLoop(
        () -> {
          ResponseWriter response = request.response();
          response.sendHead(HttpResponseStatus.OK, headers(), length(body.length()));
          response.sendContent(text(body));
          response.finish();
        });
  }

  private void assertNothingHandedOver(String... before) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    assertThat(handedIds).containsExactly(before);
  }

  private void awaitDisconnects(int count) throws InterruptedException {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (disconnects.get() < count) {
      assertThat(MonotonicClock.nowMs()).as("time while waiting").isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private void onLoop(Runnable task) throws Exception {
    loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void send(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void sendInSegments(String text, int bytes) throws IOException {
    caller.setTcpNoDelay(true);
    for (int i = 0; i < text.length(); i += bytes) {
      send(text.substring(i, Math.min(text.length(), i + bytes)));
    }
  }

  private void sendIgnoringReset(String text) {
    try {
      send(text);
    } catch (IOException e) {
      // The server may have closed the connection already.
    }
  }

  /** Reads until the end of the text matches a regular expression. */
  private String readUntil(String end) throws IOException {
    StringBuilder read = new StringBuilder();
    InputStream in = caller.getInputStream();
    while (!read.toString().matches("(?s).*(" + end + ")")) {
      int value = in.read();
      assertThat(value).as("the byte after '" + read + "'").isNotNegative();
      read.append((char) value);
    }
    return read.toString();
  }

  /** Reads responses and returns their bodies joined. */
  private String readBodies(int count) throws IOException {
    StringBuilder bodies = new StringBuilder();
    for (int i = 0; i < count; i++) {
      String head = readUntil("\r\n\r\n");
      assertThat(head).startsWith("HTTP/1.1 200");
      int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
      bodies.append(
          new String(caller.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1));
    }
    return bodies.toString();
  }

  private static String withLength(String id) {
    return "POST /x HTTP/1.1\r\nid: " + id + "\r\nContent-Length: 6\r\n\r\nbody-" + id;
  }

  private static String chunked(String id) {
    return "POST /x HTTP/1.1\r\nid: "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n2\r\n-"
        + id
        + "\r\n0\r\n\r\n";
  }

  private static String unescape(String text) {
    return text.replace("\\r", "\r").replace("\\n", "\n").replace("%LONG%", "x".repeat(101));
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private static HttpHeaders headers() {
    return new DefaultHttpHeaders();
  }

  private static OptionalLong length(long bytes) {
    return OptionalLong.of(bytes);
  }

  /** Dialect of requests that state only their id. */
  static final class PlainDialect implements CallDialect {

    @Override
    public CallProfile readRequest(HttpRequest request, long nowMs) throws InvalidCallException {
      String id = request.headers().get("id");
      if (id == null) {
        throw new InvalidCallException("the id is missing");
      }
      return new CallProfile(
          id, "host", request.uri(), Optional.empty(), nowMs, nowMs, Optional.empty());
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
      headers.set("retry-after-ms", delayMs);
    }
  }
}
