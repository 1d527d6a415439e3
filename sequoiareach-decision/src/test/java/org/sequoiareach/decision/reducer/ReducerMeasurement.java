package org.sequoiareach.decision.reducer;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PeerEvent;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.decision.policy.Policy;
import org.sequoiareach.decision.policy.StrategyFactory;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetDigest;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Measures CPU time, allocation and heap use of one daemon's reducer at several cluster sizes.
 *
 * <p>Each second of virtual time contains the peak-load events of a daemon in a cluster of full
 * size: requests from callers, attempts forwarded to it as owner, their progress, load reports,
 * load hints, ticks, one read of the VM list and, every other second, one read of the sheet.
 */
final class ReducerMeasurement {

  private static final int MODELS = 6;
  private static final int ZONES = 19;
  private static final int ORGANISATIONS = 360;
  private static final int REQUESTS_PER_SECOND = 35;
  private static final int ANSWER_SECONDS = 15;
  private static final int ANSWER_TOKENS = 327;
  private static final int TICK_MS = 50;
  private static final int MAX_OWNED = 7;

  private final int targets;
  private final int daemons;
  private final Sheet sheet = sheet();
  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final Map<String, EventCost> costs = new LinkedHashMap<>();
  private final List<RunningAttempt> runningAttempts = new ArrayList<>();
  private List<String> owned = List.of();
  private DecisionReducer reducer;
  private long nowMs = 10_000;
  private int requestCount;

  private ReducerMeasurement(int targets, int daemons) {
    this.targets = targets;
    this.daemons = daemons;
  }

  /**
   * Runs the measurement for each cluster size.
   *
   * @param args the virtual seconds per size, then pairs of target count and daemon count
   */
  public static void main(String[] args) {
    int seconds = Integer.parseInt(args[0]);
    for (int i = 1; i + 1 < args.length; i += 2) {
      new ReducerMeasurement(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1])).run(seconds);
    }
  }

  private void run(int seconds) {
    final long before = usedHeap();
    reducer = reducer();
    apply(new BudgetEvent.DayBegan(nowMs, "2026-12-03", Long.MAX_VALUE));
    apply(new PlatformEvent.SheetRead(nowMs, nowMs, sheet));
    apply(new PlatformEvent.VmsListed(nowMs, nowMs, vmList(0)));
    for (int i = 0; i < targets; i++) {
      apply(new PeerEvent.HintReceived(nowMs, hint(i)));
    }
    long idle = usedHeap() - before;
    for (int i = 0; i < seconds; i++) {
      simulateSecond(i);
      if (i == seconds / 2) {
        costs.clear();
      }
    }
    final long busy = usedHeap() - before;
    System.out.printf(
        "%d targets, %d daemons, %d owned here, %d requests and %d attempts open:"
            + " state %d KB idle, %d KB busy%n",
        targets,
        daemons,
        owned.size(),
        reducer.requestsInProgress(),
        reducer.attemptsOwned(),
        idle / 1_024,
        busy / 1_024);
    int measured = seconds - seconds / 2 - 1;
    costs.forEach((name, cost) -> System.out.println(cost.line(name, measured)));
    double micros = costs.values().stream().mapToDouble(cost -> cost.sumNs() / 1e3).sum();
    System.out.printf("  all events: %.2f %% of a core%n", micros / measured / 1e6 * 100);
  }

  private void simulateSecond(int second) {
    apply(new PlatformEvent.VmsListed(nowMs, nowMs, vmList(second)));
    if (second % 2 == 0) {
      apply(new PlatformEvent.SheetRead(nowMs, nowMs, sheet));
    }
    for (int tick = 0; tick < 1_000 / TICK_MS; tick++) {
      nowMs += TICK_MS;
      apply(new TimeEvent.Ticked(nowMs));
      endFinishedAttempts();
      int due = REQUESTS_PER_SECOND * (tick + 1) * TICK_MS / 1_000;
      int done = REQUESTS_PER_SECOND * tick * TICK_MS / 1_000;
      for (int i = done; i < due; i++) {
        sendRequest();
        forwardAttempt();
      }
    }
    for (RunningAttempt attempt : runningAttempts) {
      attempt.tokens += ANSWER_TOKENS / ANSWER_SECONDS;
      apply(new RequestEvent.AttemptProgressed(nowMs, attempt.attemptId, attempt.tokens, 45));
    }
    for (int i = 0; i < 2; i++) {
      owned.forEach(id -> apply(new PlatformEvent.LoadReported(nowMs, id, load())));
    }
    for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
      apply(new PeerEvent.HintReceived(nowMs, hint((requestCount + i) % targets)));
    }
  }

  private void sendRequest() {
    requestCount++;
    apply(new RequestEvent.RequestArrived(nowMs, spec("r" + requestCount), nowMs + 600_000));
  }

  /** Forwards an attempt from another daemon to a target that this daemon owns. */
  private void forwardAttempt() {
    if (owned.isEmpty()) {
      return;
    }
    String target = owned.get(requestCount % owned.size());
    String id = "f" + requestCount;
    apply(
        new RequestEvent.AttemptForwarded(
            nowMs, "d1", id, target, spec(id), 5, 1, nowMs + 600_000));
  }

  private void endFinishedAttempts() {
    while (!runningAttempts.isEmpty()
        && nowMs - runningAttempts.get(0).startedMs >= ANSWER_SECONDS * 1_000) {
      RunningAttempt attempt = runningAttempts.remove(0);
      apply(
          new RequestEvent.AttemptEnded(nowMs, attempt.attemptId, Outcome.finished(ANSWER_TOKENS)));
    }
  }

  private void apply(Event event) {
    long bytes = threads.getCurrentThreadAllocatedBytes();
    final long startNs = System.nanoTime();
    List<Effect> effects = reducer.apply(event);
    long ns = System.nanoTime() - startNs;
    bytes = threads.getCurrentThreadAllocatedBytes() - bytes;
    costs.computeIfAbsent(event.getClass().getSimpleName(), name -> new EventCost()).add(ns, bytes);
    effects.forEach(this::perform);
  }

  private void perform(Effect effect) {
    if (effect instanceof MembershipEffect.SendProbe probe) {
      SheetStatus status =
          new SheetStatus(
              new SheetDigest(1, probe.sheet().sheet().digest()), true, OptionalLong.of(0));
      apply(
          new MembershipEvent.ProbeAcked(
              nowMs,
              probe.daemonId(),
              probe.sequence(),
              probe.daemonId(),
              List.of(),
              Optional.of(status)));
    } else if (effect instanceof Effect.PollLoads poll) {
      owned = poll.addresses().keySet().stream().limit(MAX_OWNED).toList();
      owned.forEach(id -> apply(new PlatformEvent.LoadReported(nowMs, id, load())));
    } else if (effect instanceof Effect.WriteLedger write) {
      apply(
          new BudgetEvent.LedgerWritten(
              nowMs, write.organisation(), write.day(), write.entry().amount()));
    } else if (effect instanceof Effect.Dispatch dispatch) {
      start(dispatch.attemptId(), dispatch.targetId());
    } else if (effect instanceof Effect.Forward forward) {
      start(forward.attemptId(), forward.targetId());
    }
  }

  private void start(String attemptId, String targetId) {
    runningAttempts.add(new RunningAttempt(attemptId, nowMs));
    apply(new RequestEvent.AttemptStarted(nowMs, attemptId, targetId));
  }

  /** Returns the VM list; one target is replaced every ten seconds. */
  private List<VmEntry> vmList(int second) {
    List<VmEntry> vms = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      String id = i == 0 ? "t0-" + second / 10 : "t" + i;
      List<String> serves = List.of("m" + i % MODELS);
      vms.add(new VmEntry(id, VmKind.ENGINE, "10.0.0.1:7000", zone(i), false, serves));
    }
    for (int i = 0; i < daemons; i++) {
      vms.add(new VmEntry("d" + i, VmKind.DAEMON, "10.0.0.2:7000", zone(i), false, List.of()));
    }
    return vms;
  }

  private RequestSpec spec(String id) {
    return new RequestSpec(
        id,
        "o" + requestCount % ORGANISATIONS,
        RequestKind.GENERATION,
        "m" + requestCount % Math.min(MODELS, targets),
        "draft",
        true,
        "",
        100,
        2_000,
        List.of(),
        true);
  }

  private DecisionReducer reducer() {
    MembershipSettings members = new MembershipSettings("d0", "10.0.0.2:7000", zone(0), 1, 1);
    SheetGuardSettings guard = new SheetGuardSettings("d0", 15_000, 2_000, 1);
    StrategyFactory factory =
        new StrategyFactory(Policy.EXPECTED_MEMORY, AdmissionSettings.defaults());
    return new DecisionReducer(
        ReducerSettings.defaults("d0", "run", zone(0), 1),
        new GroupReducer(new GroupSettings(members, guard)),
        factory.createRouting(),
        new LeastOutstandingRouting(),
        id -> factory.createAdmission(id, RequestKind.GENERATION));
  }

  private static Sheet sheet() {
    List<ModelEntry> models = new ArrayList<>();
    List<String> names = new ArrayList<>();
    for (int i = 0; i < MODELS; i++) {
      models.add(new ModelEntry("m" + i, "1", 32_768, 0, 0));
      names.add("m" + i);
    }
    List<OrganisationEntry> organisations = new ArrayList<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      organisations.add(
          new OrganisationEntry(
              "o" + i,
              List.of(),
              5,
              names,
              List.of(),
              new PlanEntry(1_000_000_000_000L, 1_000_000_000_000L),
              new LimitsEntry(1_000_000, 1_000_000)));
    }
    return new Sheet(1, models, List.of(), organisations);
  }

  private static EngineLoad load() {
    return new EngineLoad(20_000, 4_000, 16, 70, 0, 0, 1, 45, false, List.of("m0"));
  }

  private static LoadHint hint(int target) {
    return new LoadHint("t" + target, 50, 0, 0.5, 30);
  }

  private static String zone(int i) {
    return "z" + i % ZONES;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Attempt that runs on a target. */
  private static final class RunningAttempt {

    private final String attemptId;
    private final long startedMs;
    private int tokens;

    private RunningAttempt(String attemptId, long startedMs) {
      this.attemptId = attemptId;
      this.startedMs = startedMs;
    }
  }

  /** Time and allocation of the events of one type. */
  private static final class EventCost {

    private final List<Long> nanos = new ArrayList<>();
    private long bytes;

    private void add(long ns, long allocated) {
      nanos.add(ns);
      bytes += allocated;
    }

    private double sumNs() {
      return nanos.stream().mapToDouble(Long::doubleValue).sum();
    }

    private String line(String name, int seconds) {
      long[] sorted = nanos.stream().mapToLong(Long::longValue).toArray();
      Arrays.sort(sorted);
      return "  %-18s %6.1f /s, mean %9.1f us, median %9.1f us, p99 %9.1f us, %9d B"
          .formatted(
              name,
              (double) sorted.length / seconds,
              sumNs() / sorted.length / 1e3,
              sorted[sorted.length / 2] / 1e3,
              sorted[sorted.length * 99 / 100] / 1e3,
              bytes / sorted.length);
    }
  }
}
