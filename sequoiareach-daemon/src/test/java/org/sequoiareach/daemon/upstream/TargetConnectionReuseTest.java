package org.sequoiareach.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests which connections are reused and that they carry one request at a time. */
class TargetConnectionReuseTest extends AbstractTargetConnectionTest {

  private static final long REUSE_MS = 1_000;

  @Test
  void doesNotReuseConnectionWhoseRequestIsNotWrittenCompletely() throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    try (ServerSocket slow = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      TargetConnection slowConnection = acquire(targetAt("127.0.0.1:" + slow.getLocalPort()));
      listener.connection = slowConnection;
      Socket accepted = slow.accept();
      send(slowConnection, "POST", "x".repeat(32 << 20), listener);
      accepted.getInputStream().readNBytes(10);
      accepted.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));

      assertThat(listener.await()).isEqualTo("complete");

      awaitConnectionCount(1);
      accepted.close();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Busy\\r\\nX-Late: 1\\r\\nContent-Length: 0\\r\\n\\r\\n",
        "HTTP/1.1 503 Busy\\r\\nX-Late: ",
        "HTT",
        "\u0000\u0001\\n"
      })
  void doesNotReuseConnectionWithBytesBehindResponse(String trailing) throws Exception {
    final RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);

    accepted.send(OK + unescape(trailing));

    assertThat(listener.await()).isEqualTo("complete");
    accepted.awaitClosed();
    assertThat(acquire()).isNotSameAs(connection);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Busy\\r\\nX-Late: 1\\r\\nContent-Length: 0\\r\\n\\r\\n",
        "HTTP/1.1 503 Busy\\r\\nX-Late: ",
        "HTT",
        "\u0000\u0001\\n"
      })
  void doesNotReuseConnectionWithBytesReceivedWhileIdle(String trailing) throws Exception {
    TargetConnection connection = acquire();
    RawServer.Connection accepted = exchange(connection, "GET");

    accepted.send(unescape(trailing));

    accepted.awaitClosed();
    assertThat(acquire()).isNotSameAs(connection);
  }

  @Test
  void reusesConnectionAfterDiscardedResponse() throws Exception {
    RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = server.accept();
    listener.connection = connection;
    send(connection, "POST", "x", listener);
    accepted.awaitReceived("POST");
    accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
    listener.awaitHead();

    onLoop(run(() -> connection.discardResponse(MonotonicClock.nowMs() + TIMEOUT_MS)));
    accepted.send("k");

    awaitReusable(connection);
    assertThat(listener.events).doesNotContain("complete");
    RecordingListener second = new RecordingListener();
    TargetConnection reused = acquire();
    assertThat(reused).isSameAs(connection);
    send(reused, "GET", "", second);
    accepted.awaitReceived("GET");
    accepted.send(OK);
    assertThat(second.await()).isEqualTo("complete");
    assertThat(second.content.toString()).isEqualTo("ok");
  }

  @Test
  void readsDiscardedResponseToItsEndAfterReadingWasSuspended() throws Exception {
    final RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    final RawServer.Connection accepted = server.accept();
    send(connection, "POST", "x", listener);
    accepted.awaitReceived("POST");
    accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
    listener.awaitHead();

    onLoop(run(() -> connection.setReadEnabled(false)));
    onLoop(run(() -> connection.discardResponse(MonotonicClock.nowMs() + TIMEOUT_MS)));
    accepted.send("k");

    awaitReusable(connection);
  }

  @Test
  void readsNextResponseAfterReadingWasSuspendedAtEndOfPreviousOne() throws Exception {
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = server.accept();
    RecordingListener slow = new RecordingListener();
    slow.connection = connection;
    slow.onComplete = () -> connection.setReadEnabled(false);
    send(connection, "GET", "", slow);
    accepted.awaitReceived("GET");
    accepted.send(OK);
    assertThat(slow.await()).isEqualTo("complete");
    RecordingListener second = new RecordingListener();

    TargetConnection reused = acquire();
    send(reused, "POST", "x", second);
    server.received();
    (reused == connection ? accepted : server.accept()).awaitReceived("POST");
    accepted.send(OK);

    assertThat(second.await()).isEqualTo("complete");
  }

  @ParameterizedTest
  @CsvSource({"GET, ok", "HEAD, ''"})
  void skipsInterimResponsesOfEachRequest(String method, String body) throws Exception {
    TargetConnection connection = acquire();
    final RawServer.Connection accepted = server.accept();
    for (int i = 1; i <= 3; i++) {
      RecordingListener listener = new RecordingListener();
      listener.connection = connection;
      send(acquireSame(connection, i), method, "", listener);
      accepted.awaitReceived("number: " + connection.sentRequests());

      accepted.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
      accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + body);

      assertThat(listener.await()).isEqualTo("complete");
      assertThat(listener.events).containsExactly("head 200", "complete");
      assertThat(listener.content.toString()).isEqualTo(body);
    }
  }

  @Test
  void doesNotTakeBodyOfHeadResponseForNextResponse() throws Exception {
    final RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    final RawServer.Connection accepted = server.accept();
    send(connection, "HEAD", "", listener);
    accepted.awaitReceived("HEAD");

    accepted.send("HTTP/1.1 200 OK\r\nContent-Length: " + OK.length() + "\r\n\r\n" + OK);

    assertThat(listener.await()).isEqualTo("complete");
    accepted.awaitClosed();
    assertThat(acquire()).isNotSameAs(connection);
  }

  @Test
  void neverSharesConnectionBetweenRequests() throws Exception {
    TargetConnection first = acquire();
    TargetConnection second = acquire();
    final RawServer.Connection acceptedFirst = server.accept();
    final RawServer.Connection acceptedSecond = server.accept();
    assertThat(second).isNotSameAs(first);
    RecordingListener one = new RecordingListener();
    RecordingListener two = new RecordingListener();
    one.connection = first;
    two.connection = second;
    send(first, "GET", "", one);
    send(second, "GET", "", two);
    acceptedFirst.awaitReceived("GET");
    acceptedSecond.awaitReceived("GET");
    acceptedFirst.send(OK);
    acceptedSecond.send(OK);
    assertThat(one.await()).isEqualTo("complete");
    assertThat(two.await()).isEqualTo("complete");

    List<TargetConnection> taken = List.of(acquire(), acquire(), acquire());

    assertThat(taken).doesNotHaveDuplicates().contains(first, second);
  }

  /** Guards against runs that are lost because their request was sent on a closed connection. */
  @Test
  void doesNotHandOutConnectionThatItClosesAsExpired() throws Exception {
    TargetConnection connection = acquire();
    exchange(connection, "GET");

    onLoop(run(() -> connection.setReusableUntil(MonotonicClock.nowMs())));
    TargetConnection next = acquire();

    assertThat(next).isNotSameAs(connection);
    startExchange(next, "GET", new RecordingListener());
  }

  /** Guards against connections that are given up, or believed lost, at the end of long answers. */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void countsTimeForReuseFromTheLatestKnownEndOfTheResponse(boolean readAll, boolean reused)
      throws Exception {
    final RecordingListener listener = new RecordingListener();
    TargetConnection connection = acquire();
    listener.connection = connection;
    listener.reuseMs = REUSE_MS;
    final RawServer.Connection accepted = startExchange(connection, "GET", listener);
    accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
    listener.awaitHead();

    onLoop(run(() -> connection.setReadEnabled(readAll)));
    TimeUnit.MILLISECONDS.sleep(REUSE_MS + ARRIVAL_MS);
    onLoop(run(() -> connection.setReadEnabled(true)));
    accepted.send("k");
    assertThat(listener.await()).isEqualTo("complete");

    assertThat(acquire() == connection).isEqualTo(reused);
  }

  /** Guards against attempts of which nothing was written and that are taken for possible runs. */
  @Test
  void reportsRequestOnClosedConnectionAsNotSent() throws Exception {
    TargetConnection connection = acquire();
    RecordingListener listener = new RecordingListener();

    onLoop(run(connection::close));
    send(connection, "POST", "x", listener);

    assertThat(listener.await()).startsWith("not sent: ");
  }

  @Test
  void freesPlaceOfConnectionAsSoonAsItIsClosed() throws Exception {
    TargetConnection connection = acquire();

    int left =
        onLoop(
            () -> {
              connection.close();
              return manager.connectionCount();
            });

    assertThat(left).isZero();
  }

  @ParameterizedTest
  @ValueSource(strings = {"idle", "in use", "opening", "released"})
  void doesNotReuseConnectionOfRetiredTarget(String state) throws Exception {
    if (state.equals("opening")) {
      CompletableFuture<TargetConnection> opened = new CompletableFuture<>();
      onLoop(
          () -> {
            manager.acquire(
                target,
                "request",
                MAX_CONNECTIONS,
                (connection, problem) -> opened.complete(connection));
            manager.retire(target);
            return null;
          });
      exchange(opened.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), "GET").awaitClosed();
      return;
    }
    TargetConnection connection = acquire();
    RawServer.Connection accepted;
    if (state.equals("idle")) {
      accepted = exchange(connection, "GET");
      onLoop(run(() -> manager.retire(target)));
    } else {
      onLoop(run(() -> manager.retire(target)));
      accepted = state.equals("released") ? server.accept() : exchange(connection, "GET");
      if (state.equals("released")) {
        onLoop(run(connection::releaseUnused));
      }
    }

    accepted.awaitClosed();
    assertThat(acquire()).isNotSameAs(connection);
    awaitConnectionCount(1);
  }
}
