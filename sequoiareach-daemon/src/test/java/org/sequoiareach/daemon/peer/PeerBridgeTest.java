package org.sequoiareach.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerStatistics;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests the verdict of an attempt that was forwarded when its link breaks or cannot be used. */
class PeerBridgeTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r1", "acme", RequestKind.GENERATION, "m", "", true, "", 1, 100, List.of(), true);

  private final CompletableFuture<Void> sent = new CompletableFuture<>();
  private final List<Verdict> verdicts = new ArrayList<>();
  private final PeerDirectory directory = new PeerDirectory();
  private final PeerBridge bridge = new PeerBridge(event -> {}, directory);

  @BeforeEach
  void forward() {
    VmEntry owner = new VmEntry("d2", VmKind.DAEMON, "127.0.0.1:1", "z", false, List.of());
    directory.handle(new Effect.UseVms(List.of(owner)));
    bridge.setTransport(new StubTransport());
    long deadlineMs = MonotonicClock.nowMs() + 60_000;
    bridge
        .forward(
            new Effect.Forward("r1-1", "d2", "e1", SPEC, 5, 1, deadlineMs),
            new RequestContent("POST", "/", List.of(), new byte[0]))
        .subscribe(part -> {}, thrown -> verdicts.add(RequestFailures.classify(thrown).verdict()));
  }

  /** Guards against a promise of not run once the attempt was handed to its owner. */
  @Test
  void linkThatBreaksAfterAttemptWasSentMayHaveRun() {
    sent.complete(null);
    assertThat(verdicts).isEmpty();
    bridge.onPeerLost("d2");
    assertThat(verdicts).containsExactly(Verdict.MAY_HAVE_RUN);
  }

  @ParameterizedTest
  @EnumSource(names = {"NOT_RUN", "MAY_HAVE_RUN"})
  void attemptThatWasNotSentHasVerdictOfItsMessage(Verdict verdict) {
    sent.completeExceptionally(
        new RequestFailedException(verdict, Reason.OWNER_FAILED, "lost", OptionalLong.empty()));
    assertThat(verdicts).containsExactly(verdict);
  }

  @Test
  void lossOfAnotherPeerDoesNotEndAttempt() {
    sent.complete(null);
    bridge.onPeerLost("d3");
    assertThat(verdicts).isEmpty();
  }

  /** Transport whose messages are sent when {@link #sent} completes. */
  private final class StubTransport implements PeerTransport {

    @Override
    public CompletableFuture<Void> send(String daemonId, String address, PeerMessage message) {
      return sent;
    }

    @Override
    public String address() {
      return "127.0.0.1:1";
    }

    @Override
    public PeerStatistics statistics() {
      return new PeerStatistics(0, 0, 0, 0);
    }

    @Override
    public void close() {}
  }
}
