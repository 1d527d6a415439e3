package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.target.RawTarget;
import org.sequoiareach.model.platform.VmKind;

/** Tests what callers get from services that break off their answers. */
class ServiceFailureTest {

  private static final AtomicInteger CALLS = new AtomicInteger();
  private static LocalDeployment deployment;
  private static Daemon daemon;
  private static RawTarget service;
  private static volatile Optional<String> stream = Optional.empty();

  @BeforeAll
  static void start() throws IOException {
    deployment = new LocalDeployment(0);
    service = new RawTarget(ServiceFailureTest::breakOffFirstAnswer);
    deployment.putVm("dispatch-1", VmKind.SERVICE, service.address(), "dispatch", false);
    deployment.putVm("dispatch-2", VmKind.SERVICE, service.address(), "dispatch", false);
    daemon = deployment.startDaemon("d1");
  }

  @AfterEach
  void answerBookings() {
    stream = Optional.empty();
  }

  @AfterAll
  static void stop() throws IOException {
    deployment.close();
    service.close();
  }

  /** Guards against joining the bodies of two answers to a call that may be repeated. */
  @Test
  void answerThatBreaksOffIsNotContinuedByThatOfAnotherTarget() {
    CALLS.set(0);
    HttpRequest read =
        deployment.request(daemon, LocalDeployment.KEY, "/services/dispatch/bookings/7").build();
    assertThatThrownBy(() -> deployment.send(read).join()).hasCauseInstanceOf(IOException.class);
    assertThat(CALLS).hasValue(1);
  }

  @Test
  void brokenAnswerOfNonRepeatableCallDoesNotLookComplete() {
    CALLS.set(0);
    assertThatThrownBy(() -> deployment.book(daemon, LocalDeployment.KEY, "broken").join())
        .hasCauseInstanceOf(IOException.class);
    assertThat(CALLS).hasValue(1);
  }

  @ParameterizedTest
  @CsvSource({
    "'Content-Length: 11\r\n', 'data: first', false",
    "'Content-Length: 12\r\n', 'data: first\n', false",
    "'', 'data: first', false",
    "'', 'data: first\n', false",
    "'Content-Length: 13\r\n', 'data: first\n\n', true",
    "'', 'data: first\n\n', true"
  })
  void streamThatEndsInsideEventDoesNotLookComplete(
      String lengthField, String body, boolean complete) {
    stream =
        Optional.of(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + lengthField + "\r\n" + body);
    HttpRequest read =
        deployment.request(daemon, LocalDeployment.KEY, "/services/dispatch/bookings/7").build();
    if (complete) {
      assertThat(deployment.send(read).join().body()).isEqualTo(body);
      return;
    }
    assertThatThrownBy(() -> deployment.send(read).join()).hasCauseInstanceOf(IOException.class);
  }

  private static void breakOffFirstAnswer(Socket socket) throws IOException {
    if (RawTarget.readRequest(socket).isEmpty()) {
      return;
    }
    if (stream.isPresent()) {
      RawTarget.write(socket, stream.get());
      return;
    }
    if (CALLS.incrementAndGet() == 1) {
      RawTarget.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
      LocalDeployment.sleep(200);
      return;
    }
    RawTarget.respond(socket, 200, "text/plain", "the second");
  }
}
