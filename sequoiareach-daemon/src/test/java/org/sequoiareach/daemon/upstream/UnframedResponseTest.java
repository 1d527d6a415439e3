package org.sequoiareach.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sequoiareach.standin.server.RawServer;

/** Tests what counts as the end of a response that only the end of its connection marks. */
class UnframedResponseTest extends AbstractTargetConnectionTest {

  private final RecordingListener listener = new RecordingListener();
  private TargetConnection connection;

  @Test
  void reportsFailureIfConnectionIsResetWhileReadingIsSuspended() throws Exception {
    RawServer.Connection accepted = startResponse();
    onLoop(run(() -> connection.setReadEnabled(false)));

    accepted.send("more");
    accepted.reset();
    TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
    onLoop(run(() -> connection.setReadEnabled(true)));

    assertThat(listener.await()).startsWith("disconnected");
  }

  @Test
  void reportsFailureIfEventLoopShutsDownBeforeTargetCloses() throws Exception {
    startResponse();

    resources.disposeLater(Duration.ZERO, Duration.ofMillis(TIMEOUT_MS)).block();

    assertThat(listener.await()).startsWith("failure");
  }

  private RawServer.Connection startResponse() throws Exception {
    connection = acquire();
    listener.connection = connection;
    RawServer.Connection accepted = startExchange(connection, "GET", listener);
    accepted.send("HTTP/1.1 200 OK\r\n\r\npart");
    listener.awaitHead();
    return accepted;
  }
}
