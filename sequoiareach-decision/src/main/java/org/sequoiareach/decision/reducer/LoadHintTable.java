package org.sequoiareach.decision.reducer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.decision.routing.TargetView;
import org.sequoiareach.model.platform.VmEntry;

/** Table of the latest load hint of each target, as received from its owner. */
final class LoadHintTable {

  private final Map<String, TimedHint> hints = new HashMap<>();

  void record(long nowMs, LoadHint hint) {
    hints.put(hint.targetId(), new TimedHint(nowMs, hint));
  }

  TargetView view(long nowMs, VmEntry vm, boolean sameZone, int outstanding) {
    Optional<TimedHint> timed = Optional.ofNullable(hints.get(vm.id()));
    long ageMs = timed.map(hint -> nowMs - hint.receivedMs).orElse(0L);
    Optional<LoadHint> hint = timed.map(TimedHint::hint);
    return new TargetView(vm.id(), vm.zone(), sameZone, outstanding, hint, ageMs);
  }

  void retain(Predicate<String> listed) {
    hints.keySet().removeIf(listed.negate());
  }

  /** Load hint with its time of receipt. */
  private record TimedHint(long receivedMs, LoadHint hint) {}
}
