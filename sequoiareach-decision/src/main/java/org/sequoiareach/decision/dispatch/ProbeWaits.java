package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;

/** The calls that wait for the outcome of a probe of their former target. Not thread-safe. */
final class ProbeWaits {

  /** Longer than a probe takes to time out. */
  private static final long TIMEOUT_MS = 500;

  private final List<Wait> waits = new ArrayList<>();

  /** A call that waits, with the failure of its latest attempt. */
  record Wait(ActiveCall call, String targetId, DispatchEvent.AttemptFailed failure) {}

  void add(ActiveCall call, String targetId, DispatchEvent.AttemptFailed failure) {
    waits.add(new Wait(call, targetId, failure));
  }

  /** Removes and returns the calls that wait for the probe of a target. */
  List<Wait> takeForTarget(String targetId) {
    List<Wait> taken = waits.stream().filter(wait -> wait.targetId.equals(targetId)).toList();
    waits.removeAll(taken);
    return taken;
  }

  /** Removes and returns the calls whose probe has not ended in time. */
  List<Wait> takeOverdue(long nowMs) {
    List<Wait> taken =
        waits.stream().filter(wait -> nowMs - wait.failure.nowMs() > TIMEOUT_MS).toList();
    waits.removeAll(taken);
    return taken;
  }
}
