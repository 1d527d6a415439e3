package org.sequoiareach.decision.fuzz;

import java.util.List;
import java.util.Set;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;

/** Runs a script of faults under load, then clears all faults and lets the cluster become idle. */
final class Scenario {

  /**
   * Maximum time for which a target may receive new work after it was listed as leaving: one read
   * period of the VM list, the longest undetected pause, the longest time between decision and
   * send, and a margin of 100 ms.
   */
  static final long MAX_LEAVING_MS = 1_000 + 2_000 + 1_000 + 100;

  private static final List<String> DAEMONS = List.of("d1", "d2", "d3");
  private static final long START_MS = 4_000;
  private static final long STEP_MS = 400;
  private static final long SETTLE_MS = 60_000;

  private final GuaranteeChecker checker = new GuaranteeChecker(MAX_LEAVING_MS);
  private final SimulatedCluster cluster;
  private long incarnations;
  private long requests;
  private boolean sending = true;

  Scenario(long seed, Set<SafetyMechanism> disabled) {
    this.cluster = new SimulatedCluster(seed, checker, disabled);
    DAEMONS.forEach(this::startDaemon);
  }

  GuaranteeChecker checker() {
    return checker;
  }

  void run(List<FaultStep> script) {
    cluster.clock.at(START_MS, this::sendNextRequest);
    long atMs = START_MS + 500;
    for (FaultStep step : script) {
      cluster.clock.at(atMs, () -> apply(step));
      atMs += STEP_MS;
    }
    cluster.clock.runUntil(atMs + 10_000);
    clearFaults();
    cluster.clock.runUntil(cluster.clock.nowMs() + 3_000);
    sending = false;
    cluster.clock.runUntil(cluster.clock.nowMs() + SETTLE_MS);
  }

  private void apply(FaultStep step) {
    String daemonId = DAEMONS.get(step.subject() % DAEMONS.size());
    SimulatedDaemon daemon = cluster.daemons.get(daemonId);
    List<SimulatedTarget> targets = List.copyOf(cluster.targets.values());
    SimulatedTarget target = targets.get(step.subject() % targets.size());
    switch (step.fault()) {
      case KILL_DAEMON -> killDaemon(daemon);
      case PAUSE_DAEMON -> daemon.pause(step.forMs());
      case PAUSE_AFTER_DECISION -> daemon.pauseAfterDecision(step.forMs());
      case STOP_DAEMON -> daemon.stop();
      case CUT_DAEMONS -> cut(daemonId, DAEMONS.get((step.subject() + 1) % 3), step.forMs());
      case CUT_TARGET -> cut(daemonId, target.id, step.forMs());
      case KILL_TARGET -> target.die();
      case LEAVE_TARGET -> target.leave();
      case KEY_VALUE_DOWN -> {
        cluster.keyValueDown = true;
        cluster.clock.after(step.forMs(), () -> cluster.keyValueDown = false);
      }
      case DROP_CLAIM_ANSWERS -> {
        cluster.claimAnswersDropped = true;
        cluster.clock.after(step.forMs(), () -> cluster.claimAnswersDropped = false);
      }
      default -> cluster.exportSheet();
    }
  }

  private void cut(String one, String other, long forMs) {
    cluster.cutLinks.add(SimulatedCluster.link(one, other));
    cluster.clock.after(forMs, () -> cluster.cutLinks.remove(SimulatedCluster.link(one, other)));
  }

  private void killDaemon(SimulatedDaemon daemon) {
    if (daemon.alive) {
      daemon.kill();
    }
  }

  private void startDaemon(String id) {
    incarnations++;
    cluster.daemons.put(id, new SimulatedDaemon(cluster, id, incarnations, settings(id)));
    cluster.clock.after(700, () -> restartIfDead(id));
  }

  private ReducerSettings settings(String id) {
    ReducerSettings defaults = ReducerSettings.defaults(id, id + "#" + incarnations, "z", 7);
    long pauseBoundMs =
        cluster.isEnabled(SafetyMechanism.PAUSE_DETECTION)
            ? defaults.pauseBoundMs()
            : Integer.MAX_VALUE / 2;
    return new ReducerSettings(
        id,
        defaults.runId(),
        defaults.zone(),
        defaults.seed(),
        defaults.maxAttempts(),
        defaults.maxResumes(),
        defaults.resumeBackoffMs(),
        pauseBoundMs,
        defaults.sendWithinMs(),
        defaults.drainNoticeMs(),
        defaults.budgetWaitMs(),
        defaults.retryAfterMs());
  }

  private void restartIfDead(String id) {
    if (cluster.daemons.get(id).alive) {
      cluster.clock.after(700, () -> restartIfDead(id));
    } else {
      startDaemon(id);
    }
  }

  private void clearFaults() {
    cluster.cutLinks.clear();
    cluster.keyValueDown = false;
    cluster.claimAnswersDropped = false;
  }

  private void sendNextRequest() {
    if (!sending) {
      return;
    }
    cluster.clock.after(40, this::sendNextRequest);
    String key = cluster.random.nextInt(4) == 0 ? "k" + requests : "";
    sendRequest(key);
    if (!key.isEmpty() && cluster.random.nextInt(3) == 0) {
      sendRequest(key);
      cluster.clock.after(500, () -> sendRequest(key));
    }
  }

  private void sendRequest(String key) {
    SimulatedDaemon daemon = cluster.daemons.get(DAEMONS.get(cluster.random.nextInt(3)));
    if (!daemon.alive || !daemon.ready) {
      return;
    }
    requests++;
    boolean serviceCall = !key.isEmpty();
    RequestSpec spec =
        new RequestSpec(
            daemon.name + "-" + requests,
            "acme",
            serviceCall ? RequestKind.SERVICE_CALL : RequestKind.GENERATION,
            serviceCall ? SimulatedCluster.SERVICE : SimulatedCluster.MODEL,
            "",
            !serviceCall,
            key,
            10,
            100,
            List.of(),
            !serviceCall && cluster.random.nextInt(5) > 0);
    daemon.submit(spec, cluster.clock.nowMs() + 20_000);
    if (cluster.random.nextInt(30) == 0) {
      long afterMs = cluster.random.nextInt(500);
      cluster.clock.after(afterMs, () -> daemon.cancel(spec.requestId()));
    }
  }
}
