package org.sequoiareach.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.SheetStatus;
import org.sequoiareach.peer.AttemptMessage.OpenAttempt;
import org.sequoiareach.peer.MembershipMessage.Probe;

class PartialWriteTest {

  private static final PeerLimits LIMITS =
      new PeerLimits(16 << 20, 32 << 20, 1 << 12, 20_000, 60_000);
  private static final int BODY_BYTES = 12 << 20;
  private static final long TIMEOUT_MS = 20_000;

  /** Guards against a promise of not run for a message of which some bytes have left. */
  @Test
  void partlyWrittenMessageMayHaveRun() throws Exception {
    try (TcpPeerTransport from = start("d1");
        TcpPeerTransport to = start("d2");
        Relay relay = new Relay(to)) {
      Probe probe = new Probe(1, List.of(), SheetStatus.UNKNOWN);
      from.send("d2", relay.address(), probe).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      relay.pause();
      CompletableFuture<Void> sent = from.send("d2", relay.address(), openAttempt());
      Thread.sleep(300);
      assertThat(sent).isNotDone();
      relay.dropConnections();
      relay.resume();
      ExecutionException thrown =
          catchThrowableOfType(
              () -> sent.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), ExecutionException.class);
      assertThat(((RequestFailedException) thrown.getCause()).verdict())
          .isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  private static TcpPeerTransport start(String id) {
    PeerSettings settings = new PeerSettings(id, 1, "a", "127.0.0.1", 0, LIMITS);
    return TcpPeerTransport.start(settings, new RecordingListener());
  }

  private static OpenAttempt openAttempt() {
    RequestSpec spec =
        new RequestSpec("r", "o", RequestKind.GENERATION, "m", "", true, "", 1, 1, List.of(), true);
    return new OpenAttempt(
        "r-1", "e", spec, 1, 1, TIMEOUT_MS, "POST", "/", List.of(), new byte[BODY_BYTES]);
  }
}
