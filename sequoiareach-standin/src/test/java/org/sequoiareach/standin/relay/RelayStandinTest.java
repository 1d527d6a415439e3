package org.sequoiareach.standin.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.server.Addresses;
import org.sequoiareach.standin.server.TestHttpClient;
import org.sequoiareach.standin.service.ServiceSettings;
import org.sequoiareach.standin.service.ServiceStandin;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RelayStandinTest {

  private static final int TIMEOUT_MS = 5_000;

  private final ServiceStandin service =
      new ServiceStandin(new ServiceSettings("127.0.0.1:0", "dispatch"));
  private RelayStandin relay;
  private InetSocketAddress address;
  private TestHttpClient control;

  @BeforeEach
  void start() {
    String forward = Addresses.format(service.start());
    relay = new RelayStandin(new RelaySettings("127.0.0.1:0", forward));
    address = relay.start();
    control = new TestHttpClient(relay.controlAddress());
  }

  @AfterEach
  void close() {
    relay.close();
    service.close();
  }

  @Test
  void relaysBytesInBothDirections() throws Exception {
    String body = "x".repeat(300_000);
    assertThat(new TestHttpClient(address).json("POST", "/a", body).path("body").asText())
        .isEqualTo(body);
    assertThat(relay.record().forwardBytes()).isGreaterThan(body.length());
    assertThat(relay.record().backwardBytes()).isGreaterThan(body.length());
  }

  @Test
  void refusesConnectionsWhileCutAndAcceptsThemAfterwards() throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      exchange(open);
      control.setFaults("{\"cut\":true}");
      assertThat(open.getInputStream().read()).isEqualTo(-1);
    }
    assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()).close())
        .isInstanceOf(ConnectException.class);
    control.setFaults("{}");
    try (Socket reopened = new Socket(address.getAddress(), address.getPort())) {
      exchange(reopened);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"stallForward", "stallBackward"})
  void holdsBackBytesUntilStallEnds(String fault) throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      exchange(open);
      control.setFaults("{\"" + fault + "\":true}");
      send(open);
      open.setSoTimeout(100);
      assertThatThrownBy(() -> open.getInputStream().read())
          .isInstanceOf(SocketTimeoutException.class);
      control.setFaults("{}");
      open.setSoTimeout(TIMEOUT_MS);
      assertThat(readAnswer(open)).contains("200 OK");
    }
    assertThat(service.record().executions()).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"delayForwardMs", "delayBackwardMs"})
  void delaysBytes(String fault) throws Exception {
    control.setFaults("{\"" + fault + "\":60}");
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      long startMs = System.nanoTime() / 1_000_000;
      exchange(open);
      assertThat(System.nanoTime() / 1_000_000 - startMs).isGreaterThanOrEqualTo(59);
    }
  }

  private static void exchange(Socket socket) throws IOException {
    socket.setSoTimeout(TIMEOUT_MS);
    send(socket);
    assertThat(readAnswer(socket)).contains("200 OK");
  }

  private static void send(Socket socket) throws IOException {
    String call = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads up to the closing brace of the JSON answer, whose last member is the empty body. */
  private static String readAnswer(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\"body\":\"\"") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("closed after: " + text);
      }
      text.append((char) next);
    }
    socket.getInputStream().read();
    return text.toString();
  }
}
