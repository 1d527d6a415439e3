package org.sequoiareach.decision.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.ClaimResult;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipDelivery;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.PassThroughAdmission;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.decision.sheet.SheetEvent;
import org.sequoiareach.decision.sheet.SheetGuardSettings;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.Sheet;

/** One run of a simulated daemon: a reducer and the host that performs its effects. */
final class SimulatedDaemon {

  final String id;
  final String name;
  boolean alive = true;
  boolean ready;
  private final SimulatedCluster cluster;
  private final DecisionReducer reducer;
  private final Map<String, CallerAnswer> answers = new HashMap<>();
  private final Map<String, TargetConnection> connections = new HashMap<>();
  private final Map<String, String> forwarderOf = new HashMap<>();
  private final Map<String, RequestSpec> forwardedSpecs = new HashMap<>();
  private final Map<String, String> ownerOf = new HashMap<>();
  private final List<Runnable> suspendedActions = new ArrayList<>();
  private Set<String> polled = Set.of();
  private long pausedUntilMs;
  private long pauseAfterDecisionMs;

  SimulatedDaemon(SimulatedCluster cluster, String id, long incarnation, ReducerSettings settings) {
    this.cluster = cluster;
    this.id = id;
    this.name = id + "#" + incarnation;
    MembershipSettings members =
        new MembershipSettings(id, id + ":1", "z", incarnation, settings.seed() + incarnation);
    SheetGuardSettings guard =
        new SheetGuardSettings(id, 15_000, settings.pauseBoundMs(), settings.seed());
    this.reducer =
        new DecisionReducer(
            settings,
            new GroupReducer(new GroupSettings(members, guard)),
            new LeastOutstandingRouting(),
            new LeastOutstandingRouting(),
            PassThroughAdmission::new);
    every(50, () -> post(TimeEvent.Ticked::new));
    every(1_000, this::readVmList);
    every(2_000, this::readSheet);
    every(500, this::pollLoads);
  }

  /** Runs an action of the process, or suspends it until the end of a pause. */
  void run(Runnable action) {
    if (!alive) {
      return;
    }
    if (cluster.clock.nowMs() < pausedUntilMs) {
      suspendedActions.add(action);
      return;
    }
    action.run();
  }

  void post(LongFunction<Event> event) {
    run(
        () -> {
          for (Effect effect : reducer.apply(event.apply(cluster.clock.nowMs()))) {
            cluster.clock.after(1, () -> run(() -> perform(effect)));
            if (effect instanceof Effect.Dispatch && pauseAfterDecisionMs > 0) {
              pause(pauseAfterDecisionMs);
              pauseAfterDecisionMs = 0;
            }
          }
        });
  }

  void pause(long forMs) {
    pausedUntilMs = Math.max(pausedUntilMs, cluster.clock.nowMs() + forMs);
    cluster.clock.at(pausedUntilMs, this::runSuspendedActions);
  }

  /** Pauses the process between its next decision to dispatch an attempt and the dispatch. */
  void pauseAfterDecision(long forMs) {
    pauseAfterDecisionMs = forMs;
  }

  void kill() {
    alive = false;
    for (Map.Entry<String, CallerAnswer> open : answers.entrySet()) {
      if (!open.getValue().finished) {
        cluster.checker.connectionLost(open.getKey());
      }
    }
    cluster.clock.after(5, () -> cluster.daemons.values().forEach(other -> other.peerLost(id)));
  }

  void stop() {
    long nowMs = cluster.clock.nowMs();
    long waitMs = cluster.isEnabled(SafetyMechanism.DRAIN) ? 120_000 : 1;
    post(at -> new TimeEvent.DrainRequested(at, nowMs + waitMs));
  }

  /** Submits a caller's request. */
  void submit(RequestSpec spec, long deadlineMs) {
    cluster.checker.requestSent(spec.requestId(), spec.streamed());
    answers.put(spec.requestId(), new CallerAnswer(spec));
    post(at -> new RequestEvent.RequestArrived(at, spec, deadlineMs));
  }

  void cancel(String requestId) {
    post(at -> new RequestEvent.RequestCancelled(at, requestId));
  }

  /** Reports that all connections with a peer were lost. */
  void peerLost(String peerId) {
    post(at -> new MembershipEvent.PeerConnectionLost(at, peerId));
    ownerOf.entrySet().stream()
        .filter(entry -> entry.getValue().equals(peerId))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            attemptId -> reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
    forwarderOf.entrySet().stream()
        .filter(entry -> entry.getValue().equals(peerId))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::forwarderLost);
  }

  private void perform(Effect effect) {
    if (effect instanceof Effect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof Effect.Resume resume) {
      cluster.clock.at(resume.notBeforeMs(), () -> run(() -> resume(resume)));
    } else if (effect instanceof Effect.Forward forward) {
      forward(forward);
    } else if (effect instanceof Effect.RejectForwarded rejected) {
      reject(rejected);
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      stopAttempt(cancel.attemptId(), false);
    } else if (effect instanceof Effect.ReleaseAttempt release) {
      stopAttempt(release.attemptId(), true);
    } else if (effect instanceof Effect.Claim claim) {
      claim(claim);
    } else if (effect instanceof Effect.SettleClaim settle) {
      settle(settle);
    } else if (effect instanceof Effect.FailRequest failure) {
      fail(failure);
    } else if (effect instanceof MembershipEffect membership) {
      MembershipDelivery.deliver(membership, id, this::send);
    } else if (effect instanceof SheetEffect sheet) {
      performSheet(sheet);
    } else {
      performControl(effect);
    }
  }

  private void performControl(Effect effect) {
    if (effect instanceof Effect.UseSheet use) {
      cluster.checker.sheetInUse(name, use.sheet().version());
    } else if (effect instanceof Effect.SetReady set) {
      ready = set.ready();
    } else if (effect instanceof Effect.PollLoads poll) {
      polled = new TreeSet<>(poll.addresses().keySet());
    } else if (effect instanceof Effect.ReadPlatform) {
      readVmList();
      readSheet();
    } else if (effect instanceof Effect.Stop) {
      handleStop();
    }
  }

  private void handleStop() {
    for (Map.Entry<String, CallerAnswer> open : answers.entrySet()) {
      if (!open.getValue().finished) {
        cluster.checker.addViolation(name + " stopped with " + open.getKey() + " in progress");
        cluster.checker.connectionLost(open.getKey());
      }
    }
    alive = false;
    cluster.clock.after(5, () -> cluster.daemons.values().forEach(other -> other.peerLost(id)));
  }

  private void dispatch(Effect.Dispatch dispatch) {
    String attemptId = dispatch.attemptId();
    CallerAnswer answer = answers.get(dispatch.requestId());
    RequestSpec spec = answer == null ? forwardedSpecs.get(attemptId) : answer.spec;
    boolean tooLate =
        cluster.isEnabled(SafetyMechanism.SEND_DEADLINE)
            && cluster.clock.nowMs() > dispatch.sendByMs();
    if (tooLate || spec == null) {
      reportAttemptEnded(attemptId, Verdict.NOT_RUN, Reason.NOT_READY);
      return;
    }
    SimulatedTarget target = cluster.targets.get(dispatch.targetId());
    if (cluster.isCut(id, target.id)) {
      cluster.clock.after(
          500, () -> reportAttemptEnded(attemptId, Verdict.NOT_RUN, Reason.TARGET_FAILED));
      return;
    }
    TargetConnection connection = new TargetConnection(attemptId, target);
    connections.put(attemptId, connection);
    cluster.send(id, target.id, () -> arriveAt(target, spec, connection), connection::lost);
  }

  private void arriveAt(SimulatedTarget target, RequestSpec spec, TargetConnection connection) {
    if (!target.alive) {
      cluster.clock.after(
          1, () -> reportAttemptEnded(connection.attemptId, Verdict.NOT_RUN, Reason.TARGET_FAILED));
      return;
    }
    boolean service = target.kind == VmKind.SERVICE;
    long nowMs = cluster.clock.nowMs();
    String key = spec.idempotencyKey();
    cluster.checker.reachedTarget(spec.requestId(), target.id, key, service, nowMs);
    if (!service) {
      target.generate(connection.attemptId, spec, connection);
    } else if (cluster.random.nextInt(20) == 0) {
      cluster.clock.after(2, connection::lost);
    } else {
      connection.complete(0);
    }
  }

  private void resume(Effect.Resume resume) {
    CallerAnswer answer = answers.get(resume.requestId());
    SimulatedTarget target = cluster.targets.get(resume.targetId());
    if (answer == null || cluster.isCut(id, target.id) || !target.alive) {
      cluster.clock.after(
          100,
          () -> reportAttemptEnded(resume.attemptId(), Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED));
      return;
    }
    TargetConnection connection = new TargetConnection(resume.attemptId(), target);
    connections.put(resume.attemptId(), connection);
    ownerOf.remove(resume.attemptId());
    long after = answer.attemptId.equals(resume.attemptId()) ? answer.lastSequence : 0;
    cluster.send(
        id,
        target.id,
        () -> {
          Optional<SimulatedTarget.Generation> generation = target.find(resume.attemptId());
          if (generation.isEmpty()) {
            reportAttemptEnded(resume.attemptId(), Verdict.MAY_HAVE_RUN, Reason.NOT_FOUND);
          } else {
            target.resume(generation.get(), connection, after);
          }
        },
        connection::lost);
  }

  private void forward(Effect.Forward forward) {
    String attemptId = forward.attemptId();
    String ownerId = forward.daemonId();
    if (cluster.isCut(id, ownerId)) {
      cluster.clock.after(
          500, () -> reportAttemptEnded(attemptId, Verdict.NOT_RUN, Reason.OWNER_FAILED));
      return;
    }
    ownerOf.put(attemptId, ownerId);
    SimulatedDaemon owner = cluster.daemons.get(ownerId);
    long leftMs = forward.deadlineMs() - cluster.clock.nowMs();
    cluster.send(
        id,
        ownerId,
        () -> owner.run(() -> owner.acceptForwarded(forward, id, leftMs)),
        () -> reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
    if (!owner.alive) {
      cluster.clock.after(
          5, () -> reportAttemptEnded(attemptId, Verdict.NOT_RUN, Reason.OWNER_FAILED));
    }
  }

  private void acceptForwarded(Effect.Forward forward, String fromId, long leftMs) {
    forwarderOf.put(forward.attemptId(), fromId);
    forwardedSpecs.put(forward.attemptId(), forward.spec());
    post(
        at ->
            new RequestEvent.AttemptForwarded(
                at,
                fromId,
                forward.attemptId(),
                forward.targetId(),
                forward.spec(),
                forward.priority(),
                forward.sheetVersion(),
                at + leftMs));
  }

  private void reject(Effect.RejectForwarded rejected) {
    forgetForwarded(rejected.attemptId());
    SimulatedDaemon forwarder = cluster.daemons.get(rejected.daemonId());
    cluster.send(
        id,
        forwarder.id,
        () ->
            forwarder.reportAttemptEnded(rejected.attemptId(), Verdict.NOT_RUN, rejected.reason()),
        () ->
            forwarder.reportAttemptEnded(
                rejected.attemptId(), Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
  }

  private void stopAttempt(String attemptId, boolean keepGeneration) {
    TargetConnection connection = connections.remove(attemptId);
    if (connection != null) {
      connection.closed = true;
      if (!keepGeneration) {
        cluster.send(id, connection.target.id, () -> connection.target.cancel(attemptId), () -> {});
      }
    }
    String ownerId = ownerOf.remove(attemptId);
    if (ownerId != null) {
      SimulatedDaemon owner = cluster.daemons.get(ownerId);
      cluster.send(
          id, ownerId, () -> owner.forwardedCancelled(attemptId, keepGeneration), () -> {});
    }
  }

  private void forwardedCancelled(String attemptId, boolean keepGeneration) {
    forgetForwarded(attemptId);
    post(at -> new RequestEvent.ForwardedAttemptCancelled(at, attemptId, keepGeneration));
  }

  private void forwarderLost(String attemptId) {
    forwardedCancelled(attemptId, true);
  }

  private void forgetForwarded(String attemptId) {
    forwarderOf.remove(attemptId);
    forwardedSpecs.remove(attemptId);
  }

  private void claim(Effect.Claim claim) {
    String key = claim.idempotencyKey();
    if (cluster.keyValueDown) {
      cluster.clock.after(300, () -> answerClaim(claim, ClaimResult.UNAVAILABLE));
      return;
    }
    ClaimResult result = cluster.claim(key, claim.requestId());
    boolean lost = cluster.claimAnswersDropped && cluster.random.nextInt(3) == 0;
    cluster.clock.after(
        1 + cluster.random.nextInt(30),
        () -> answerClaim(claim, lost ? ClaimResult.UNAVAILABLE : result));
  }

  private void answerClaim(Effect.Claim claim, ClaimResult result) {
    post(at -> new RequestEvent.ClaimAnswered(at, claim.requestId(), result));
  }

  private void settle(Effect.SettleClaim settle) {
    if (settle.verdict() == Verdict.NOT_RUN) {
      cluster.claims.remove(settle.idempotencyKey(), settle.requestId());
    }
  }

  private void fail(Effect.FailRequest failure) {
    CallerAnswer answer = answers.get(failure.requestId());
    if (answer != null && !answer.finished) {
      answer.finished = true;
      if (failure.message().equals("the daemon has stopped")) {
        cluster.checker.addViolation(failure.requestId() + " was cut off by a planned stop");
      }
      cluster.checker.failed(failure.requestId(), failure.verdict());
    }
  }

  private void performSheet(SheetEffect effect) {
    if (effect instanceof SheetEffect.AskSheetStatus ask) {
      send(ask.daemonId(), at -> new SheetEvent.SheetStatusAsked(at, id, ask.sequence()));
    } else if (effect instanceof SheetEffect.AnswerSheetStatus answer) {
      send(
          answer.daemonId(),
          at -> new SheetEvent.SheetStatusAnswered(at, id, answer.sequence(), answer.status()));
    } else if (effect instanceof SheetEffect.AnnounceSheet announce) {
      send(announce.daemonId(), at -> new SheetEvent.SheetStatusSeen(at, id, announce.status()));
    } else if (effect instanceof SheetEffect.PullSheet pull) {
      send(
          pull.daemonId(),
          at -> new SheetEvent.SheetPulled(at, id, pull.haveVersion(), pull.haveSections()));
    } else if (effect instanceof SheetEffect.SendSheetSections sections) {
      send(
          sections.daemonId(),
          at ->
              new SheetEvent.SheetSectionsReceived(
                  at, id, sections.manifest(), sections.catalogue(), sections.organisations()));
    }
  }

  private void send(String daemonId, LongFunction<Event> event) {
    SimulatedDaemon receiver = cluster.daemons.get(daemonId);
    if (receiver == null || !receiver.alive) {
      post(at -> new MembershipEvent.PeerUnreachable(at, daemonId));
      return;
    }
    cluster.send(
        id,
        daemonId,
        () -> receiver.post(event),
        () -> post(at -> new MembershipEvent.PeerUnreachable(at, daemonId)));
  }

  private void reportAttemptEnded(String attemptId, Verdict verdict, Reason reason) {
    Verdict reported = cluster.isEnabled(SafetyMechanism.VERDICTS) ? verdict : Verdict.NOT_RUN;
    ownerOf.remove(attemptId);
    post(
        at ->
            new RequestEvent.AttemptEnded(
                at, attemptId, Outcome.failed(reported, reason, reason.label())));
  }

  private void readVmList() {
    long askedMs = cluster.clock.nowMs();
    List<VmEntry> list = cluster.vmList();
    cluster.clock.after(
        1 + cluster.random.nextInt(20),
        () -> post(at -> new PlatformEvent.VmsListed(at, askedMs, list)));
  }

  private void readSheet() {
    long askedMs = cluster.clock.nowMs();
    if (cluster.keyValueDown) {
      cluster.clock.after(300, () -> post(PlatformEvent.SheetReadFailed::new));
      return;
    }
    Sheet sheet = cluster.sheet();
    long delayMs = cluster.random.nextInt(4) == 0 ? 1_400 : 5;
    cluster.clock.after(delayMs, () -> post(at -> new PlatformEvent.SheetRead(at, askedMs, sheet)));
  }

  private void pollLoads() {
    for (String targetId : polled) {
      SimulatedTarget target = cluster.targets.get(targetId);
      if (cluster.isCut(id, targetId) || !target.alive) {
        post(at -> new PlatformEvent.LoadFailed(at, targetId));
        continue;
      }
      boolean leaving = target.leavingSinceMs <= cluster.clock.nowMs();
      EngineLoad load =
          new EngineLoad(1_000, 0, 16, 0, 0, 0, 0, 20, leaving, List.of(SimulatedCluster.MODEL));
      cluster.clock.after(3, () -> post(at -> new PlatformEvent.LoadReported(at, targetId, load)));
    }
  }

  private void runSuspendedActions() {
    if (cluster.clock.nowMs() < pausedUntilMs) {
      return;
    }
    List<Runnable> actions = List.copyOf(suspendedActions);
    suspendedActions.clear();
    actions.forEach(this::run);
  }

  private void every(long periodMs, Runnable action) {
    run(action);
    if (alive) {
      cluster.clock.after(periodMs, () -> every(periodMs, action));
    }
  }

  private void handleToken(String attemptId, String requestId, long sequence, String generatedFor) {
    CallerAnswer answer = answers.get(requestId);
    if (answer == null || answer.finished) {
      return;
    }
    if (cluster.isEnabled(SafetyMechanism.GENERATION_CHECK) && answer.hasGap(attemptId, sequence)) {
      abortConnection(attemptId);
      return;
    }
    if (!answer.accept(attemptId, sequence)
        && cluster.isEnabled(SafetyMechanism.GENERATION_CHECK)) {
      return;
    }
    if (answer.spec.streamed()) {
      cluster.checker.token(requestId, attemptId, generatedFor, sequence);
    }
    if (sequence == 1) {
      post(at -> new RequestEvent.AttemptStarted(at, attemptId, ""));
    } else if (sequence % 8 == 0) {
      post(at -> new RequestEvent.AttemptProgressed(at, attemptId, (int) sequence, 20));
    }
  }

  /** Closes a connection on which a token was lost and ends the attempt. */
  private void abortConnection(String attemptId) {
    TargetConnection connection = connections.remove(attemptId);
    if (connection != null) {
      connection.closed = true;
    }
    reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED);
  }

  /** Handles a message about an attempt unless the connection to the owner was lost before. */
  private void receiveFromOwner(
      String ownerId, String attemptId, Consumer<SimulatedDaemon> action) {
    if (ownerId.equals(ownerOf.get(attemptId))) {
      action.accept(this);
    }
  }

  private void handleCompletion(String attemptId, String requestId, int tokens) {
    CallerAnswer answer = answers.get(requestId);
    if (answer == null || answer.finished) {
      return;
    }
    if (!answer.isComplete(attemptId, tokens)) {
      abortConnection(attemptId);
      return;
    }
    answer.finished = true;
    cluster.checker.finished(requestId, tokens);
    ownerOf.remove(attemptId);
    post(at -> new RequestEvent.AttemptEnded(at, attemptId, Outcome.finished(tokens)));
  }

  /** Connection that reads an attempt for a caller of this daemon or for the forwarding daemon. */
  private final class TargetConnection implements SimulatedTarget.TokenReader {

    private final String attemptId;
    private final SimulatedTarget target;
    private boolean closed;

    private TargetConnection(String attemptId, SimulatedTarget target) {
      this.attemptId = attemptId;
      this.target = target;
    }

    @Override
    public void token(long sequence, String generatedFor) {
      cluster.send(
          target.id, id, () -> run(() -> receiveToken(sequence, generatedFor)), this::lost);
    }

    @Override
    public void complete(int tokens) {
      cluster.send(target.id, id, () -> run(() -> receiveCompletion(tokens)), this::lost);
    }

    @Override
    public void lost() {
      if (closed) {
        return;
      }
      closed = true;
      relay(
          origin ->
              origin.reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED));
      reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED);
    }

    private void receiveToken(long sequence, String generatedFor) {
      if (closed) {
        return;
      }
      String requestId = requestOf(attemptId);
      if (!relay(origin -> origin.handleToken(attemptId, requestId, sequence, generatedFor))) {
        handleToken(attemptId, requestId, sequence, generatedFor);
      }
    }

    private void receiveCompletion(int tokens) {
      if (closed) {
        return;
      }
      closed = true;
      connections.remove(attemptId);
      String requestId = requestOf(attemptId);
      if (relay(origin -> origin.handleCompletion(attemptId, requestId, tokens))) {
        forgetForwarded(attemptId);
        post(at -> new RequestEvent.AttemptEnded(at, attemptId, Outcome.finished(tokens)));
      } else {
        handleCompletion(attemptId, requestId, tokens);
      }
    }

    /** Sends to the daemon that forwarded the attempt; returns false if it was not forwarded. */
    private boolean relay(Consumer<SimulatedDaemon> action) {
      String forwarderId = forwarderOf.get(attemptId);
      if (forwarderId == null) {
        return false;
      }
      SimulatedDaemon forwarder = cluster.daemons.get(forwarderId);
      cluster.send(
          id,
          forwarderId,
          () -> forwarder.run(() -> forwarder.receiveFromOwner(id, attemptId, action)),
          () -> {
            forwarder.reportAttemptEnded(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED);
            run(() -> forwarderLost(attemptId));
          });
      return true;
    }

    private String requestOf(String attempt) {
      return attempt.substring(0, attempt.lastIndexOf('-'));
    }
  }

  /** Answer to one caller, with the daemon's checks of order and generation. */
  private static final class CallerAnswer {

    private final RequestSpec spec;
    private String attemptId = "";
    private long lastSequence;
    private boolean finished;

    private CallerAnswer(RequestSpec spec) {
      this.spec = spec;
    }

    private boolean accept(String fromAttempt, long sequence) {
      if (!fromAttempt.equals(attemptId)) {
        if (spec.streamed() && lastSequence > 0) {
          return false;
        }
        attemptId = fromAttempt;
        lastSequence = 0;
      }
      if (sequence != lastSequence + 1) {
        return false;
      }
      lastSequence = sequence;
      return true;
    }

    private boolean hasGap(String fromAttempt, long sequence) {
      if (spec.streamed() && lastSequence > 0 && !fromAttempt.equals(attemptId)) {
        return false;
      }
      return sequence > (fromAttempt.equals(attemptId) ? lastSequence : 0) + 1;
    }

    private boolean isComplete(String fromAttempt, int tokens) {
      return spec.kind() == RequestKind.SERVICE_CALL
          || (fromAttempt.equals(attemptId) && lastSequence == tokens);
    }
  }
}
