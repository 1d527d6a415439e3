package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.memory.MemoryAccount;
import reactor.netty.resources.LoopResources;

/** Guards against clients of the readiness check that make a process hold more than it can. */
class StatusServerTest {

  private static final int TIMEOUT_MS = 10_000;
  private static final int CONNECTIONS = 3;
  private static final int HEADER_LINES = 10;
  private static final int BODY_BYTES = 10_000;
  private static final String CHECK = "GET / HTTP/1.1\r\nHost: r\r\n\r\n";

  private final LoopResources resources = LoopResources.create("test", 1, true);
  private final EventLoop loop = resources.onServer(false).next();
  private final MetricRegistry metrics = new MetricRegistry();
  private final MemoryAccount memory = MemoryAccount.ofProcess();
  private final AtomicInteger responses = new AtomicInteger();
  private final List<Socket> sockets = new ArrayList<>();
  private InetSocketAddress address;
  private StatusServer server;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    ClientLimits limits = new ClientLimits(1, CONNECTIONS, HEADER_LINES);
    server = new StatusServer("ready", address, this::respond, metrics, loop, memory, limits);
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  @Test
  void answersPipelinedRequestsOneByOne() throws IOException {
    Socket socket = connect();
    int count = 3 * DecodeTurns.OBJECTS_PER_TURN;
    write(socket, CHECK.repeat(10));
    for (int i = 0; i < 10; i++) {
      readResponse(socket);
    }
    Thread sender = new Thread(() -> writeUnchecked(socket, CHECK.repeat(count)));
    sender.start();
    for (int i = 0; i < count; i++) {
      readResponse(socket);
    }

    assertThat(responses).hasValue(10 + count);
    assertThat(loop.submit(() -> memory.heads().heldBytes()).syncUninterruptibly().getNow())
        .isZero();
  }

  @Test
  void createsNoResponsesThatClientDoesNotRead() throws Exception {
    Socket socket = connect();
    int count = 20_000;
    Thread sender = new Thread(() -> writeUnchecked(socket, CHECK.repeat(count)));
    sender.start();
    int before = -1;
    while (responses.get() != before) {
      before = responses.get();
      Thread.sleep(500);
    }

    assertThat(responses.get()).isPositive().isLessThan(count);
    assertThat(readResponseOfAnother()).startsWith("HTTP/1.1 200");
    socket.close();
    sender.join(TIMEOUT_MS);
  }

  @Test
  void closesConnectionUnusedForLongestTimeBeyondLimit() throws Exception {
    Socket oldest = connect();
    Thread.sleep(50);
    for (int i = 0; i < CONNECTIONS; i++) {
      Socket socket = connect();
      write(socket, CHECK);
      readResponse(socket);
    }

    assertThat(oldest.getInputStream().read()).isEqualTo(-1);
    assertThat(metrics.meter("front.closed.ready.connections").getCount()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n"})
  void closesConnectionWhoseHeadHasTooManyLines(String start) throws IOException {
    Socket socket = connect();
    write(socket, start + "a:\r\n".repeat(HEADER_LINES + 1));

    assertThat(readToEnd(socket)).doesNotContain("HTTP/1.1 400");
    assertThat(loop.submit(() -> memory.heads().heldBytes()).syncUninterruptibly().getNow())
        .isZero();
  }

  private FullHttpResponse respond() {
    responses.incrementAndGet();
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
  }

  private String readResponseOfAnother() throws IOException {
    Socket socket = connect();
    write(socket, CHECK);
    return readResponse(socket);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.connect(address, TIMEOUT_MS);
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
      head.append((char) socket.getInputStream().read());
    }
    assertThat(socket.getInputStream().readNBytes(BODY_BYTES)).hasSize(BODY_BYTES);
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
