package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sequoiareach.model.request.Reason;

/**
 * Checks that a call is not given up while a sound engine holds the copy of its stopped run.
 *
 * <p>Knows what engines see: the copies that they received, the orders to stop that they confirmed,
 * and how they answered the attempts to continue. Sound is an engine that is not leaving, was not
 * replaced and has never answered that it does not know a run.
 */
final class StoppedRunOracle {

  /** The time after its stop within which an engine must be offered a run. */
  private static final long OFFER_MS = 3_000;

  /** The rejections after which a run may be given up. */
  private static final int MAX_REJECTIONS = 4;

  private static final class StoppedRun {
    private final long stoppedAtMs;
    private String holderAddress;
    private int rejections;

    private StoppedRun(long stoppedAtMs, String holderAddress) {
      this.stoppedAtMs = stoppedAtMs;
      this.holderAddress = holderAddress;
    }
  }

  private final Map<String, StoppedRun> runs = new HashMap<>();
  private final Set<String> unsoundAddresses = new HashSet<>();

  /** Records that the engine at an address is leaving, was replaced or does not know a run. */
  void onUnsound(String address) {
    unsoundAddresses.add(address);
  }

  /** Records that a run was stopped, and that the destination has the whole of its memory. */
  void onStopped(long nowMs, DispatchEffect.CopyRun copy) {
    StoppedRun run =
        runs.computeIfAbsent(copy.callId(), id -> new StoppedRun(nowMs, copy.destinationAddress()));
    run.holderAddress = copy.destinationAddress();
  }

  /** Records that a call is run anew, or that a target has taken its run. */
  void onTaken(String callId) {
    runs.remove(callId);
  }

  /** Records the end of an attempt to send a call. */
  void onFailed(DispatchEffect.SendCall send, AttemptFault fault) {
    if (fault == AttemptFault.NOBODY_THERE || fault == AttemptFault.WRONG_TARGET) {
      onUnsound(send.target().address());
    }
    if (send.continuation().isEmpty()) {
      return;
    }
    if (fault.mayHaveRun()) {
      onTaken(send.callId());
    } else if (fault == AttemptFault.REJECTED && runs.containsKey(send.callId())) {
      runs.get(send.callId()).rejections++;
    }
  }

  /** Checks the end of a call that this daemon decided on. */
  void checkEnd(long nowMs, String callId, Reason reason) {
    StoppedRun run = runs.remove(callId);
    if (run == null || reason == Reason.DEADLINE || reason == Reason.NOT_READY) {
      return;
    }
    boolean mayBeGivenUp =
        nowMs - run.stoppedAtMs >= OFFER_MS
            || run.rejections >= MAX_REJECTIONS
            || unsoundAddresses.contains(run.holderAddress);
    assertThat(mayBeGivenUp)
        .as(
            "%s is given up %d ms after its stop, after %d rejections, while %s holds its run",
            callId, nowMs - run.stoppedAtMs, run.rejections, run.holderAddress)
        .isTrue();
  }
}
