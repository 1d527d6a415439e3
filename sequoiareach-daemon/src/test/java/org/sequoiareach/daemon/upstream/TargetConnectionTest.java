package org.sequoiareach.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests what a listener is told when connections fail or targets misbehave. */
class TargetConnectionTest extends AbstractTargetConnectionTest {

  @Test
  void reportsRefusedConnectionWithoutOpeningOne() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }

    assertThat(connectFailure(targetAt("127.0.0.1:" + port)))
        .isInstanceOf(ConnectException.class)
        .isNotInstanceOf(ConnectTimeoutException.class);
    assertThat(onLoop(manager::connectionCount)).isZero();
  }

  @Test
  void sendsNothingOnConnectionThatOpensAfterItsTimeout() throws Exception {
    try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CopyOnWriteArrayList<Socket> waiting = fillBacklog(busy);

      assertThat(connectFailure(targetAt("127.0.0.1:" + busy.getLocalPort())))
          .isInstanceOf(ConnectTimeoutException.class);

      for (int i = 0; i < waiting.size(); i++) {
        busy.accept().close();
      }
      busy.setSoTimeout(1_500);
      assertThat(readLateConnection(busy)).isEmpty();
      waiting.forEach(TargetConnectionTest::closeQuietly);
    }
  }

  @ParameterizedTest
  @CsvSource({"false, disconnected: ", "true, not sent: "})
  void reportsFailureIfTargetClosedPooledConnectionBeforeWrite(boolean reset, String failure)
      throws Exception {
    final TargetConnection pooled = acquire();
    final RawServer.Connection accepted = exchange(pooled, "GET");
    RecordingListener second = new RecordingListener();

    onLoop(
        () -> {
          // The loop is blocked, so it has not seen the end of the connection yet.
          close(accepted, reset);
          TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
          manager.acquire(
              target,
              "request",
              MAX_CONNECTIONS,
              (connection, problem) -> connection.send(request("POST"), body("x"), second));
          return null;
        });

    assertThat(second.await()).startsWith(failure);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void reportsFailureIfTargetClosesWhileRequestIsWritten(boolean reset) throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = server.accept();

    send(connection, "POST", "x".repeat(8 << 20), listener);
    accepted.awaitReceived("POST");
    close(accepted, reset);

    assertThat(listener.await()).startsWith("disconnected");
    assertThat(listener.events).hasSize(1);
  }

  @Test
  void reportsFailureIfConnectionIsClosedWhenRequestIsSent() throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    server.accept().close();
    awaitConnectionCount(0);

    send(connection, "POST", "x", listener);

    assertThat(listener.await()).startsWith("not sent: ");
    assertThat(listener.events).hasSize(1);
  }

  @Test
  void doesNotNotifyListenerOfLateResponseAfterAbort() throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);

    onLoop(
        () -> {
          accepted.send(OK);
          TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
          connection.abort();
          return null;
        });

    accepted.awaitClosed();
    assertThat(listener.events).isEmpty();
    assertThat(acquire()).isNotSameAs(connection);
  }

  @ParameterizedTest
  @ValueSource(strings = {"gzip", "gzip, chunked", "x-other"})
  void reportsFailureIfTransferCodingIsNotDecoded(String coding) throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);

    accepted.send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\npart\r\n0\r\n\r\n");
    accepted.close();

    assertThat(listener.await()).startsWith("failure");
  }

  @ParameterizedTest
  @CsvSource({"false, complete", "true, disconnected"})
  void takesResponseWithoutLengthAsCompleteOnlyIfTargetClosed(boolean reset, String end)
      throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);

    accepted.send("HTTP/1.1 200 OK\r\n\r\npart");
    listener.awaitHead();
    close(accepted, reset);

    assertThat(listener.await()).startsWith(end);
    awaitConnectionCount(0);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "disconnected | HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\npart",
        "disconnected | HTTP/1.1 200 OK\\r\\n"
            + "Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\npart\\r\\n",
        "disconnected | HTTP/1.1 503 Busy\\r\\nX-Half: ",
        "failure | not http\\r\\n\\r\\n",
        "failure | HTTP/1.1 101 Upgrade\\r\\nUpgrade: x\\r\\nConnection: upgrade\\r\\n\\r\\nabc"
      })
  void reportsFailureOnceForIncompleteOrMalformedResponse(String end, String bytes)
      throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);

    accepted.send(unescape(bytes));
    accepted.close();

    assertThat(listener.await()).startsWith(end);
    awaitConnectionCount(0);
    assertThat(listener.events.stream().filter(event -> !event.startsWith("head"))).hasSize(1);
  }

  @Test
  void limitsConnectionsWithoutSending() throws Exception {
    acquire();

    assertThat(connectFailure(target, 1)).hasMessageContaining("are in use");
    assertThat(server.received()).isEmpty();
  }

  /** Opens connections until the operating system accepts no more of them. */
  private static CopyOnWriteArrayList<Socket> fillBacklog(ServerSocket busy) throws IOException {
    CopyOnWriteArrayList<Socket> waiting = new CopyOnWriteArrayList<>();
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(
            new InetSocketAddress(busy.getInetAddress(), busy.getLocalPort()), (int) ARRIVAL_MS);
        waiting.add(socket);
      } catch (java.net.SocketTimeoutException e) {
        socket.close();
        return waiting;
      }
    }
  }

  /** Returns the bytes of a connection that is accepted late; empty if there is none. */
  private static String readLateConnection(ServerSocket busy) throws IOException {
    try (Socket late = busy.accept()) {
      late.setSoTimeout((int) TIMEOUT_MS);
      return new String(late.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketTimeoutException e) {
      return "";
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing depends on it.
    }
  }

  /** Guards against a system call for each of many short parts. */
  @Test
  void tellsOfEndOfReadOnceForItsParts() throws Exception {
    final RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    RawServer.Connection accepted = startExchange(connection, "GET", listener);

    accepted.send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(500));
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT_MS;
    while (listener.reads.get() == 0 || listener.parts.get() < 500) {
      assertThat(MonotonicClock.nowMs()).isLessThan(deadlineMs);
      TimeUnit.MILLISECONDS.sleep(5);
    }

    assertThat(listener.parts).hasValue(500);
    assertThat(listener.reads).hasValueBetween(1, 50);
  }
}
