package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.memory.MemoryAccount;
import org.sequoiareach.decision.dispatch.CallProfile;
import reactor.netty.resources.LoopResources;

/** Guards against callers that use up the memory or the connections of others. */
class CallerPressureTest {

  private static final int TIMEOUT_MS = 10_000;
  private static final long STALL_MS = 700;
  private static final int MAX_CONNECTIONS = 4;
  private static final int HEAD_MEMORY_BYTES = 1 << 20;
  private static final int DIRECT_BYTES = 16 << 20;
  private static final int RESPONSE_BYTES = 10_000;
  private static final int LINES = 3_500;
  private static final String REQUEST =
      "POST /x HTTP/1.1\r\nid: a\r\nContent-Length: 4\r\n\r\nbody";

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final MetricRegistry metrics = new MetricRegistry();
  private final MemoryAccount memory =
      new MemoryAccount(
          new HeldBytes(HEAD_MEMORY_BYTES),
          new HeldBytes(DIRECT_BYTES),
          new HeldBytes(DIRECT_BYTES),
          new HeldBytes(DIRECT_BYTES));
  private final GatewayHttpServer server =
      new GatewayHttpServer(
          new CallerConnectionTest.PlainDialect(),
          this::respond,
          metrics,
          loop,
          memory,
          new ClientLimits(MAX_CONNECTIONS, 1, ClientLimits.DEFAULT.maxHeaderLines()));
  private final AtomicInteger responses = new AtomicInteger();
  private final List<Socket> sockets = new ArrayList<>();
  private volatile boolean holding;
  private Channel channel;

  @BeforeEach
  void start() throws IOException {
    channel = server.accept(GatewayHttpServer.bind(new InetSocketAddress("127.0.0.1", 0)));
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    channel.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  /** Guards against responses that pile up for a caller that sends ahead and does not read. */
  @Test
  void runsNoRequestsBehindUnreadResponsesAndGoesOnOnceTheyAreRead() throws Exception {
    int count = 3_000;
    Socket socket = connect();
    Thread sender = new Thread(() -> writeUnchecked(socket, REQUEST.repeat(count)));
    sender.start();
    int before = -1;
    while (responses.get() != before) {
      before = responses.get();
      TimeUnit.MILLISECONDS.sleep(STALL_MS);
    }

    assertThat(before).isPositive().isLessThan(count);
    assertThat(exchange()).startsWith("HTTP/1.1 200");
    for (int i = 0; i < count; i++) {
      assertThat(readResponse(socket)).startsWith("HTTP/1.1 200");
    }
    sender.join(TIMEOUT_MS);
    assertThat(loop.submit(() -> memory.reads().heldBytes()).get()).isZero();
  }

  /** Guards against heads of many short lines that stop short and keep others from being served. */
  @Test
  void closesStalledHeadForNextOneAndServesItAlone() throws Exception {
    String start = "POST /x HTTP/1.1\r\nid: a\r\nContent-Length: 4\r\n" + "a:\r\n".repeat(LINES);
    Socket stalled = connect();
    write(stalled, start);
    TimeUnit.MILLISECONDS.sleep(STALL_MS);
    Socket next = connect();
    write(next, start + "\r\nbody");

    assertThat(readResponse(next)).startsWith("HTTP/1.1 200");
    assertThat(readToEnd(stalled)).isEmpty();
    assertThat(metrics.meter("front.closed.memory").getCount()).isEqualTo(1);
    // Read on the loop, which releases the memory after it has written the response.
    assertThat(loop.submit(() -> memory.heads().heldBytes()).get()).isZero();
  }

  /** Guards against a request refused for pressure without the promise that it has not run. */
  @Test
  void refusesHeadAsNotRunWhileAnotherOneRuns() throws Exception {
    String start = "POST /x HTTP/1.1\r\nid: a\r\nContent-Length: 4\r\n" + "a:\r\n".repeat(LINES);
    holding = true;
    write(connect(), start + "\r\nbody");
    while (responses.get() == 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    holding = false;
    Socket next = connect();
    write(next, start + "\r\nbody");

    assertThat(readToEnd(next))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("sequoiareach-verdict: not-run")
        .contains("retry-after-ms: ");
    assertThat(responses).hasValue(1);
    assertThat(exchange()).startsWith("HTTP/1.1 200");
  }

  /** Guards against unused connections that keep callers out. */
  @Test
  void closesUnusedConnectionForNewOne() throws Exception {
    Socket oldest = connect();
    TimeUnit.MILLISECONDS.sleep(STALL_MS);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      assertThat(exchange()).startsWith("HTTP/1.1 200");
    }

    assertThat(readToEnd(oldest)).isEmpty();
    assertThat(metrics.meter("front.closed.connections").getCount()).isEqualTo(1);
  }

  /** Guards against a body in chunks of one byte that is refused or stops between two turns. */
  @Test
  void servesBodyInChunksOfOneByteOverManyTurns() throws Exception {
    int chunks = 20 * DecodeTurns.OBJECTS_PER_TURN;
    Socket socket = connect();

    write(
        socket,
        "POST /x HTTP/1.1\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "1\r\nt\r\n".repeat(chunks)
            + "0\r\n\r\n");

    assertThat(readResponse(socket)).startsWith("HTTP/1.1 200");
  }

  private Runnable respond(
      CallProfile profile, HttpRequest request, ByteBuf body, ResponseWriter response) {
    body.release();
    responses.incrementAndGet();
    if (holding) {
      return () -> {};
    }
    response.sendHead(
        HttpResponseStatus.OK, new DefaultHttpHeaders(), OptionalLong.of(RESPONSE_BYTES));
    response.sendContent(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
    response.finish();
    return () -> {};
  }

  private String exchange() throws IOException {
    Socket socket = connect();
    write(socket, REQUEST);
    return readResponse(socket);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.connect(channel.localAddress(), TIMEOUT_MS);
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void writeUnchecked(Socket socket, String text) {
    try {
      write(socket, text);
    } catch (IOException e) {
      // The test closes the socket.
    }
  }

  private static String readResponse(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int value = socket.getInputStream().read();
      assertThat(value).as("the byte after '" + head + "'").isNotNegative();
      head.append((char) value);
    }
    socket.getInputStream().readNBytes(RESPONSE_BYTES);
    return head.toString();
  }

  private static String readToEnd(Socket socket) throws IOException {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (SocketException e) {
      return "";
    }
  }
}
