package org.sequoiareach.decision.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.sequoiareach.decision.event.ClaimResult;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OperationEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.ServiceEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Environment of the simulated daemons: network links, targets, the platform and the clock. */
final class SimulatedCluster {

  static final String MODEL = "m";
  static final String SERVICE = "dispatch";
  private static final long LIST_LAG_MS = 500;

  final VirtualClock clock = new VirtualClock();
  final GuaranteeChecker checker;
  final SplittableRandom random;
  final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
  final Map<String, SimulatedDaemon> daemons = new LinkedHashMap<>();
  final Map<String, String> claims = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  boolean keyValueDown;
  boolean claimAnswersDropped;
  private final Map<String, Long> channelFreeMs = new HashMap<>();
  private long sheetVersion = 1;

  private final Set<SafetyMechanism> disabled;

  SimulatedCluster(long seed, GuaranteeChecker checker, Set<SafetyMechanism> disabled) {
    this.disabled = disabled;
    this.random = new SplittableRandom(seed);
    this.checker = checker;
    for (String id : List.of("e1", "e2", "e3")) {
      targets.put(id, new SimulatedTarget(this, id, VmKind.ENGINE));
    }
    for (String id : List.of("s1", "s2")) {
      targets.put(id, new SimulatedTarget(this, id, VmKind.SERVICE));
    }
  }

  boolean isEnabled(SafetyMechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  Sheet sheet() {
    OrganisationEntry organisation =
        new OrganisationEntry(
            "acme",
            List.of(),
            5,
            List.of(MODEL),
            List.of(SERVICE),
            new PlanEntry(0, 0),
            new LimitsEntry(1_000, 1_000));
    return new Sheet(
        sheetVersion,
        List.of(new ModelEntry(MODEL, "1", 32_768, 0, 0)),
        List.of(new ServiceEntry(SERVICE, List.of(new OperationEntry("POST", "/x", false)))),
        List.of(organisation));
  }

  void exportSheet() {
    if (!keyValueDown) {
      sheetVersion++;
    }
  }

  List<VmEntry> vmList() {
    List<VmEntry> vms = new ArrayList<>();
    for (SimulatedTarget target : targets.values()) {
      boolean leaving = clock.nowMs() >= target.leavingSinceMs + LIST_LAG_MS;
      if (leaving) {
        checker.listedLeaving(target.id, target.leavingSinceMs + LIST_LAG_MS);
      }
      vms.add(target.entry(leaving));
    }
    for (SimulatedDaemon daemon : daemons.values()) {
      vms.add(new VmEntry(daemon.id, VmKind.DAEMON, daemon.id + ":1", "z", false, List.of()));
    }
    return vms;
  }

  ClaimResult claim(String key, String requestId) {
    String holder = claims.putIfAbsent(key, requestId);
    return holder == null || holder.equals(requestId) || !isEnabled(SafetyMechanism.CLAIMS)
        ? ClaimResult.CLAIMED
        : ClaimResult.HELD_BY_OTHER;
  }

  boolean isCut(String from, String to) {
    return cutLinks.contains(link(from, to));
  }

  static String link(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  /**
   * Sends a message over a connection. Messages arrive in order unless the link is cut before.
   *
   * @param onLoss runs instead of {@code onArrival} if the connection is lost
   */
  void send(String from, String to, Runnable onArrival, Runnable onLoss) {
    if (isCut(from, to)) {
      clock.after(500, onLoss);
      return;
    }
    String channel = from + ">" + to;
    long atMs = clock.nowMs() + 1 + random.nextInt(8);
    atMs = Math.max(atMs, channelFreeMs.getOrDefault(channel, 0L));
    channelFreeMs.put(channel, atMs);
    clock.at(
        atMs,
        () -> {
          if (isCut(from, to)) {
            onLoss.run();
          } else {
            onArrival.run();
          }
        });
  }
}
