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

/** Holds all that lies outside the daemons: links, targets, the platform, and time. */
final class World {

  static final String MODEL = "m";
  static final String SERVICE = "dispatch";
  private static final long LIST_LAG_MS = 500;

  final VirtualTime time = new VirtualTime();
  final Oracle oracle;
  final SplittableRandom random;
  final Map<String, Target> targets = new LinkedHashMap<>();
  final Map<String, Host> hosts = new LinkedHashMap<>();
  final Map<String, String> claims = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  boolean keyValueDown;
  boolean claimAnswersLost;
  private final Map<String, Long> channelFreeMs = new HashMap<>();
  private long sheetVersion = 1;

  private final Set<Mechanism> off;

  World(long seed, Oracle oracle, Set<Mechanism> off) {
    this.off = off;
    this.random = new SplittableRandom(seed);
    this.oracle = oracle;
    for (String id : List.of("e1", "e2", "e3")) {
      targets.put(id, new Target(this, id, VmKind.ENGINE));
    }
    for (String id : List.of("s1", "s2")) {
      targets.put(id, new Target(this, id, VmKind.SERVICE));
    }
  }

  boolean has(Mechanism mechanism) {
    return !off.contains(mechanism);
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

  List<VmEntry> list() {
    List<VmEntry> vms = new ArrayList<>();
    for (Target target : targets.values()) {
      boolean leaving = time.nowMs() >= target.leavingSinceMs + LIST_LAG_MS;
      if (leaving) {
        oracle.listedLeaving(target.id, target.leavingSinceMs + LIST_LAG_MS);
      }
      vms.add(target.entry(leaving));
    }
    for (Host host : hosts.values()) {
      vms.add(new VmEntry(host.id, VmKind.DAEMON, host.id + ":1", "z", false, List.of()));
    }
    return vms;
  }

  ClaimResult claim(String key, String author) {
    String holder = claims.putIfAbsent(key, author);
    return holder == null || holder.equals(author) || !has(Mechanism.CLAIMS)
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
   * Carries a message over a connection: in order, unless the link is cut before it arrives.
   *
   * @param lost run when the connection breaks instead
   */
  void carry(String from, String to, Runnable arrive, Runnable lost) {
    if (isCut(from, to)) {
      time.after(500, lost);
      return;
    }
    String channel = from + ">" + to;
    long atMs = time.nowMs() + 1 + random.nextInt(8);
    atMs = Math.max(atMs, channelFreeMs.getOrDefault(channel, 0L));
    channelFreeMs.put(channel, atMs);
    time.at(
        atMs,
        () -> {
          if (isCut(from, to)) {
            lost.run();
          } else {
            arrive.run();
          }
        });
  }
}
