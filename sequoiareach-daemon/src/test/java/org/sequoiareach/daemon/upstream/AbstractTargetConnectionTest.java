package org.sequoiareach.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

/** Base of tests that play a target on the socket. */
abstract class AbstractTargetConnectionTest {

  static final long TIMEOUT_MS = 5_000;

  /** Time for bytes of the loopback interface to be in the socket of the other side. */
  static final long ARRIVAL_MS = 100;

  static final int MAX_CONNECTIONS = 10;
  static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  final LoopResources resources = LoopResources.create("test", 1, true);
  final EventLoop loop = resources.onServer(false).next();
  final TargetConnectionManager manager = new TargetConnectionManager(loop, resources);
  RawServer server;
  RoutedTarget target;

  @BeforeEach
  void start() throws IOException {
    server = new RawServer();
    target = targetAt(server.address());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();
  }

  /** Sends a request and waits for its complete response. */
  RawServer.Connection exchange(TargetConnection connection, String method) throws Exception {
    RecordingListener listener = new RecordingListener();
    listener.connection = connection;
    RawServer.Connection accepted = startExchange(connection, method, listener);
    accepted.send(OK);
    assertThat(listener.await()).isEqualTo("complete");
    return accepted;
  }

  /** Sends a request without a body and waits until the server has received it. */
  RawServer.Connection startExchange(
      TargetConnection connection, String method, ResponseListener listener) throws Exception {
    RawServer.Connection accepted = server.accept();
    send(connection, method, "", listener);
    accepted.awaitReceived(method);
    return accepted;
  }

  TargetConnection acquireSame(TargetConnection connection, int number) throws Exception {
    if (number == 1) {
      return connection;
    }
    TargetConnection next = acquire();
    assertThat(next).isSameAs(connection);
    return next;
  }

  void awaitReusable(TargetConnection connection) throws Exception {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    TargetConnection next = acquire();
    while (next != connection) {
      TargetConnection unused = next;
      onLoop(run(unused::abort));
      assertThat(MonotonicClock.nowMs()).as("time while waiting").isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(10);
      next = acquire();
    }
    TargetConnection reused = next;
    onLoop(run(reused::releaseUnused));
  }

  void awaitConnectionCount(int count) throws Exception {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (onLoop(manager::connectionCount) != count) {
      assertThat(MonotonicClock.nowMs()).as("time while waiting").isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  TargetConnection acquire() throws Exception {
    return acquire(target);
  }

  TargetConnection acquire(RoutedTarget from) throws Exception {
    return acquireAsync(from, MAX_CONNECTIONS).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  Throwable connectFailure(RoutedTarget from) throws Exception {
    return connectFailure(from, MAX_CONNECTIONS);
  }

  Throwable connectFailure(RoutedTarget from, int maxConnections) throws Exception {
    return acquireAsync(from, maxConnections)
        .<Throwable>handle((connection, problem) -> problem)
        .thenApply(problem -> problem instanceof CompletionException e ? e.getCause() : problem)
        .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  CompletableFuture<TargetConnection> acquireAsync(RoutedTarget from, int maxConnections) {
    CompletableFuture<TargetConnection> acquired = new CompletableFuture<>();
    loop.execute(
        () ->
            manager.acquire(
                from,
                "request",
                maxConnections,
                (connection, problem) -> {
                  if (connection == null) {
                    acquired.completeExceptionally(problem);
                  } else {
                    acquired.complete(connection);
                  }
                }));
    return acquired;
  }

  void send(TargetConnection connection, String method, String body, ResponseListener listener)
      throws Exception {
    onLoop(
        run(
            () -> {
              HttpRequest head = request(method);
              head.headers().set("number", connection.sentRequests() + 1);
              connection.send(head, body(body), listener);
            }));
  }

  <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  static Callable<Void> run(Runnable task) {
    return () -> {
      task.run();
      return null;
    };
  }

  static void close(RawServer.Connection connection, boolean reset) {
    if (reset) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  static String unescape(String text) {
    return text.replace("\\r", "\r").replace("\\n", "\n");
  }

  static HttpRequest request(String method) {
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/x");
    if (method.equals("POST")) {
      request.headers().set("Transfer-Encoding", "chunked");
    }
    return request;
  }

  static ByteBuf body(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  static RoutedTarget targetAt(String address) {
    return new RoutedTarget("i-1", 1, "desk", address, "z1", 1, false);
  }

  /** Records what a listener is told. */
  static final class RecordingListener implements ResponseListener {

    final List<String> events = new CopyOnWriteArrayList<>();
    final StringBuffer content = new StringBuffer();
    final AtomicInteger parts = new AtomicInteger();
    final AtomicInteger reads = new AtomicInteger();
    final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
    final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    volatile TargetConnection connection;
    volatile Runnable onComplete = () -> {};
    volatile long reuseMs = TIMEOUT_MS;

    @Override
    public void onHead(HttpResponse response) {
      if (connection != null) {
        connection.setReusableUntil(MonotonicClock.nowMs() + reuseMs);
      }
      events.add("head " + response.status().code());
      heads.add("head");
    }

    @Override
    public void onContent(ByteBuf part) {
      content.append(part.toString(StandardCharsets.ISO_8859_1));
      parts.incrementAndGet();
    }

    @Override
    public void onReadComplete() {
      reads.incrementAndGet();
    }

    @Override
    public void onComplete(ResponseFraming framing) {
      onComplete.run();
      end("complete");
    }

    @Override
    public void onFailure(String detail) {
      end("failure: " + detail);
    }

    @Override
    public void onDisconnected(String detail) {
      end("disconnected: " + detail);
    }

    @Override
    public void onNotSent(String detail) {
      end("not sent: " + detail);
    }

    void end(String event) {
      events.add(event);
      ends.add(event);
    }

    String await() throws InterruptedException {
      return String.valueOf(ends.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    void awaitHead() throws InterruptedException {
      assertThat(heads.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
    }
  }
}
