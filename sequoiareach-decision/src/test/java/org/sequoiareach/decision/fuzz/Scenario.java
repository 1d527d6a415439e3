package org.sequoiareach.decision.fuzz;

import java.util.List;
import java.util.Set;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;

/** Runs a script of faults under load, heals everything, and lets it come to rest. */
final class Scenario {

  /**
   * The longest a leaving target may get new work after it was listed as leaving: one period of
   * reading the list, the longest unnoticed pause, and the longest time between decision and send.
   */
  static final long LEAVING_BOUND_MS = 1_000 + 2_000 + 1_000 + 100;

  private static final List<String> DAEMONS = List.of("d1", "d2", "d3");
  private static final long START_MS = 4_000;
  private static final long STEP_MS = 400;
  private static final long REST_MS = 60_000;

  private final Oracle oracle = new Oracle(LEAVING_BOUND_MS);
  private final World world;
  private long incarnations;
  private long requests;
  private boolean asking = true;

  Scenario(long seed, Set<Mechanism> off) {
    this.world = new World(seed, oracle, off);
    DAEMONS.forEach(this::startDaemon);
  }

  Oracle oracle() {
    return oracle;
  }

  void run(List<Step> script) {
    world.time.at(START_MS, this::askNext);
    long atMs = START_MS + 500;
    for (Step step : script) {
      world.time.at(atMs, () -> apply(step));
      atMs += STEP_MS;
    }
    world.time.runUntil(atMs + 10_000);
    heal();
    world.time.runUntil(world.time.nowMs() + 3_000);
    asking = false;
    world.time.runUntil(world.time.nowMs() + REST_MS);
  }

  private void apply(Step step) {
    String daemonId = DAEMONS.get(step.subject() % DAEMONS.size());
    Host host = world.hosts.get(daemonId);
    List<Target> targets = List.copyOf(world.targets.values());
    Target target = targets.get(step.subject() % targets.size());
    switch (step.fault()) {
      case KILL_DAEMON -> killDaemon(host);
      case FREEZE_DAEMON -> host.freeze(step.forMs());
      case FREEZE_AFTER_DECISION -> host.freezeAfterDecision(step.forMs());
      case STOP_DAEMON -> host.stop();
      case CUT_DAEMONS -> cut(daemonId, DAEMONS.get((step.subject() + 1) % 3), step.forMs());
      case CUT_TARGET -> cut(daemonId, target.id, step.forMs());
      case KILL_TARGET -> target.die();
      case LEAVE_TARGET -> target.leave();
      case KEY_VALUE_DOWN -> {
        world.keyValueDown = true;
        world.time.after(step.forMs(), () -> world.keyValueDown = false);
      }
      case LOSE_CLAIM_ANSWERS -> {
        world.claimAnswersLost = true;
        world.time.after(step.forMs(), () -> world.claimAnswersLost = false);
      }
      default -> world.exportSheet();
    }
  }

  private void cut(String one, String other, long forMs) {
    world.cutLinks.add(World.link(one, other));
    world.time.after(forMs, () -> world.cutLinks.remove(World.link(one, other)));
  }

  private void killDaemon(Host host) {
    if (host.alive) {
      host.kill();
    }
  }

  private void startDaemon(String id) {
    incarnations++;
    world.hosts.put(id, new Host(world, id, incarnations, settings(id)));
    world.time.after(700, () -> restartIfDead(id));
  }

  private ReducerSettings settings(String id) {
    ReducerSettings usual = ReducerSettings.defaults(id, id + "#" + incarnations, "z", 7);
    long pauseBoundMs =
        world.has(Mechanism.PAUSE_DETECTION) ? usual.pauseBoundMs() : Integer.MAX_VALUE / 2;
    return new ReducerSettings(
        id,
        usual.runId(),
        usual.zone(),
        usual.seed(),
        usual.maxAttempts(),
        usual.maxResumes(),
        usual.resumeBackoffMs(),
        pauseBoundMs,
        usual.sendWithinMs(),
        usual.drainNoticeMs(),
        usual.budgetWaitMs(),
        usual.retryAfterMs());
  }

  private void restartIfDead(String id) {
    if (world.hosts.get(id).alive) {
      world.time.after(700, () -> restartIfDead(id));
    } else {
      startDaemon(id);
    }
  }

  private void heal() {
    world.cutLinks.clear();
    world.keyValueDown = false;
    world.claimAnswersLost = false;
  }

  private void askNext() {
    if (!asking) {
      return;
    }
    world.time.after(40, this::askNext);
    String key = world.random.nextInt(4) == 0 ? "k" + requests : "";
    ask(key);
    if (!key.isEmpty() && world.random.nextInt(3) == 0) {
      ask(key);
      world.time.after(500, () -> ask(key));
    }
  }

  private void ask(String key) {
    Host host = world.hosts.get(DAEMONS.get(world.random.nextInt(3)));
    if (!host.alive || !host.ready) {
      return;
    }
    requests++;
    boolean service = !key.isEmpty();
    RequestSpec spec =
        new RequestSpec(
            host.name + "-" + requests,
            "acme",
            service ? RequestKind.SERVICE_CALL : RequestKind.GENERATION,
            service ? World.SERVICE : World.MODEL,
            "",
            !service,
            key,
            10,
            100,
            List.of(),
            !service && world.random.nextInt(5) > 0);
    host.ask(spec, world.time.nowMs() + 20_000);
    if (world.random.nextInt(30) == 0) {
      long afterMs = world.random.nextInt(500);
      world.time.after(afterMs, () -> host.cancel(spec.requestId()));
    }
  }
}
