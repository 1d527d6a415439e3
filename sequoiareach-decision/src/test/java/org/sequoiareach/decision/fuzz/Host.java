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

/** Stands for one start of a daemon: its reducer and all that performs its effects. */
final class Host {

  final String id;
  final String name;
  boolean alive = true;
  boolean ready;
  private final World world;
  private final DecisionReducer reducer;
  private final Map<String, Answer> answers = new HashMap<>();
  private final Map<String, Leg> legs = new HashMap<>();
  private final Map<String, String> entryOf = new HashMap<>();
  private final Map<String, RequestSpec> forwardedSpecs = new HashMap<>();
  private final Map<String, String> ownerOf = new HashMap<>();
  private final List<Runnable> held = new ArrayList<>();
  private Set<String> polled = Set.of();
  private long frozenUntilMs;
  private long freezeAfterDecisionMs;

  Host(World world, String id, long incarnation, ReducerSettings settings) {
    this.world = world;
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
    every(1_000, this::readList);
    every(2_000, this::readSheet);
    every(500, this::askLoads);
  }

  /** Runs what the process does; a frozen process does it when it thaws. */
  void run(Runnable action) {
    if (!alive) {
      return;
    }
    if (world.time.nowMs() < frozenUntilMs) {
      held.add(action);
      return;
    }
    action.run();
  }

  void post(LongFunction<Event> event) {
    run(
        () -> {
          for (Effect effect : reducer.apply(event.apply(world.time.nowMs()))) {
            world.time.after(1, () -> run(() -> perform(effect)));
            if (effect instanceof Effect.Dispatch && freezeAfterDecisionMs > 0) {
              freeze(freezeAfterDecisionMs);
              freezeAfterDecisionMs = 0;
            }
          }
        });
  }

  void freeze(long forMs) {
    frozenUntilMs = Math.max(frozenUntilMs, world.time.nowMs() + forMs);
    world.time.at(frozenUntilMs, this::thaw);
  }

  /** Freezes the process between its next decision to send and the sending. */
  void freezeAfterDecision(long forMs) {
    freezeAfterDecisionMs = forMs;
  }

  void kill() {
    alive = false;
    for (Map.Entry<String, Answer> open : answers.entrySet()) {
      if (!open.getValue().over) {
        world.oracle.cutOff(open.getKey());
      }
    }
    world.time.after(5, () -> world.hosts.values().forEach(other -> other.peerLost(id)));
  }

  void stop() {
    long nowMs = world.time.nowMs();
    long waitMs = world.has(Mechanism.DRAIN) ? 120_000 : 1;
    post(at -> new TimeEvent.DrainRequested(at, nowMs + waitMs));
  }

  /** Takes a caller's request. */
  void ask(RequestSpec spec, long deadlineMs) {
    world.oracle.asked(spec.requestId(), spec.streamed());
    answers.put(spec.requestId(), new Answer(spec));
    post(at -> new RequestEvent.RequestArrived(at, spec, deadlineMs));
  }

  void cancel(String requestId) {
    post(at -> new RequestEvent.RequestCancelled(at, requestId));
  }

  /** Tells this host that all connections with a peer broke. */
  void peerLost(String peerId) {
    post(at -> new MembershipEvent.PeerConnectionLost(at, peerId));
    ownerOf.entrySet().stream()
        .filter(entry -> entry.getValue().equals(peerId))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(attemptId -> ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
    entryOf.entrySet().stream()
        .filter(entry -> entry.getValue().equals(peerId))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::entryGone);
  }

  private void perform(Effect effect) {
    if (effect instanceof Effect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof Effect.Resume resume) {
      world.time.at(resume.notBeforeMs(), () -> run(() -> resume(resume)));
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
      membership(membership);
    } else if (effect instanceof SheetEffect sheet) {
      sheet(sheet);
    } else {
      follow(effect);
    }
  }

  private void follow(Effect effect) {
    if (effect instanceof Effect.UseSheet use) {
      world.oracle.sheetInUse(name, use.sheet().version());
    } else if (effect instanceof Effect.SetReady set) {
      ready = set.ready();
    } else if (effect instanceof Effect.PollLoads poll) {
      polled = new TreeSet<>(poll.addresses().keySet());
    } else if (effect instanceof Effect.ReadPlatform) {
      readList();
      readSheet();
    } else if (effect instanceof Effect.Stop) {
      stopped();
    }
  }

  private void stopped() {
    for (Map.Entry<String, Answer> open : answers.entrySet()) {
      if (!open.getValue().over) {
        world.oracle.violated(name + " stopped with " + open.getKey() + " in progress");
        world.oracle.cutOff(open.getKey());
      }
    }
    alive = false;
    world.time.after(5, () -> world.hosts.values().forEach(other -> other.peerLost(id)));
  }

  private void dispatch(Effect.Dispatch dispatch) {
    String attemptId = dispatch.attemptId();
    Answer answer = answers.get(dispatch.requestId());
    RequestSpec spec = answer == null ? forwardedSpecs.get(attemptId) : answer.spec;
    boolean old = world.has(Mechanism.SEND_BOUND) && world.time.nowMs() > dispatch.sendByMs();
    if (old || spec == null) {
      ended(attemptId, Verdict.NOT_RUN, Reason.NOT_READY);
      return;
    }
    Target target = world.targets.get(dispatch.targetId());
    if (world.isCut(id, target.id)) {
      world.time.after(500, () -> ended(attemptId, Verdict.NOT_RUN, Reason.TARGET_FAILED));
      return;
    }
    Leg leg = new Leg(attemptId, target);
    legs.put(attemptId, leg);
    world.carry(id, target.id, () -> arriveAt(target, spec, leg), leg::lost);
  }

  private void arriveAt(Target target, RequestSpec spec, Leg leg) {
    if (!target.alive) {
      world.time.after(1, () -> ended(leg.attemptId, Verdict.NOT_RUN, Reason.TARGET_FAILED));
      return;
    }
    boolean service = target.kind == VmKind.SERVICE;
    long nowMs = world.time.nowMs();
    String key = spec.idempotencyKey();
    world.oracle.reachedTarget(spec.requestId(), target.id, key, service, nowMs);
    if (!service) {
      target.generate(leg.attemptId, spec, leg);
    } else if (world.random.nextInt(20) == 0) {
      world.time.after(2, leg::lost);
    } else {
      leg.whole(0);
    }
  }

  private void resume(Effect.Resume resume) {
    Answer answer = answers.get(resume.requestId());
    Target target = world.targets.get(resume.targetId());
    if (answer == null || world.isCut(id, target.id) || !target.alive) {
      world.time.after(
          100, () -> ended(resume.attemptId(), Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED));
      return;
    }
    Leg leg = new Leg(resume.attemptId(), target);
    legs.put(resume.attemptId(), leg);
    ownerOf.remove(resume.attemptId());
    long after = answer.attemptId.equals(resume.attemptId()) ? answer.last : 0;
    world.carry(
        id,
        target.id,
        () -> {
          Optional<Target.Generation> generation = target.find(resume.attemptId());
          if (generation.isEmpty()) {
            ended(resume.attemptId(), Verdict.MAY_HAVE_RUN, Reason.NOT_FOUND);
          } else {
            target.readOn(generation.get(), leg, after);
          }
        },
        leg::lost);
  }

  private void forward(Effect.Forward forward) {
    String attemptId = forward.attemptId();
    String ownerId = forward.daemonId();
    if (world.isCut(id, ownerId)) {
      world.time.after(500, () -> ended(attemptId, Verdict.NOT_RUN, Reason.OWNER_FAILED));
      return;
    }
    ownerOf.put(attemptId, ownerId);
    Host owner = world.hosts.get(ownerId);
    long leftMs = forward.deadlineMs() - world.time.nowMs();
    world.carry(
        id,
        ownerId,
        () -> owner.run(() -> owner.opened(forward, id, leftMs)),
        () -> ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
    if (!owner.alive) {
      world.time.after(5, () -> ended(attemptId, Verdict.NOT_RUN, Reason.OWNER_FAILED));
    }
  }

  private void opened(Effect.Forward forward, String fromId, long leftMs) {
    entryOf.put(forward.attemptId(), fromId);
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
    Host entry = world.hosts.get(rejected.daemonId());
    world.carry(
        id,
        entry.id,
        () -> entry.ended(rejected.attemptId(), Verdict.NOT_RUN, rejected.reason()),
        () -> entry.ended(rejected.attemptId(), Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED));
  }

  private void stopAttempt(String attemptId, boolean keepGeneration) {
    Leg leg = legs.remove(attemptId);
    if (leg != null) {
      leg.closed = true;
      if (!keepGeneration) {
        world.carry(id, leg.target.id, () -> leg.target.cancel(attemptId), () -> {});
      }
    }
    String ownerId = ownerOf.remove(attemptId);
    if (ownerId != null) {
      Host owner = world.hosts.get(ownerId);
      world.carry(id, ownerId, () -> owner.forwardedCancelled(attemptId, keepGeneration), () -> {});
    }
  }

  private void forwardedCancelled(String attemptId, boolean keepGeneration) {
    forgetForwarded(attemptId);
    post(at -> new RequestEvent.ForwardedAttemptCancelled(at, attemptId, keepGeneration));
  }

  private void entryGone(String attemptId) {
    forwardedCancelled(attemptId, true);
  }

  private void forgetForwarded(String attemptId) {
    entryOf.remove(attemptId);
    forwardedSpecs.remove(attemptId);
  }

  private void claim(Effect.Claim claim) {
    String key = claim.idempotencyKey();
    if (world.keyValueDown) {
      world.time.after(300, () -> answerClaim(claim, ClaimResult.UNAVAILABLE));
      return;
    }
    ClaimResult result = world.claim(key, claim.requestId());
    boolean lost = world.claimAnswersLost && world.random.nextInt(3) == 0;
    world.time.after(
        1 + world.random.nextInt(30),
        () -> answerClaim(claim, lost ? ClaimResult.UNAVAILABLE : result));
  }

  private void answerClaim(Effect.Claim claim, ClaimResult result) {
    post(at -> new RequestEvent.ClaimAnswered(at, claim.requestId(), result));
  }

  private void settle(Effect.SettleClaim settle) {
    if (settle.verdict() == Verdict.NOT_RUN) {
      world.claims.remove(settle.idempotencyKey(), settle.requestId());
    }
  }

  private void fail(Effect.FailRequest failure) {
    Answer answer = answers.get(failure.requestId());
    if (answer != null && !answer.over) {
      answer.over = true;
      if (failure.message().equals("the daemon has stopped")) {
        world.oracle.violated(failure.requestId() + " was cut by a planned stop");
      }
      world.oracle.failed(failure.requestId(), failure.verdict());
    }
  }

  private void membership(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.SendProbe probe) {
      send(
          probe.daemonId(),
          at ->
              new MembershipEvent.ProbeReceived(
                  at, id, probe.sequence(), probe.updates(), probe.sheet()));
    } else if (effect instanceof MembershipEffect.SendProbeAck ack) {
      send(
          ack.daemonId(),
          at ->
              new MembershipEvent.ProbeAcked(
                  at, id, ack.sequence(), ack.memberId(), ack.updates(), ack.sheet()));
    } else if (effect instanceof MembershipEffect.SendIndirectProbe probe) {
      send(
          probe.daemonId(),
          at ->
              new MembershipEvent.IndirectProbeRequested(
                  at,
                  id,
                  probe.sequence(),
                  probe.memberId(),
                  probe.memberAddress(),
                  probe.updates()));
    }
  }

  private void sheet(SheetEffect effect) {
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
    Host receiver = world.hosts.get(daemonId);
    if (receiver == null || !receiver.alive) {
      post(at -> new MembershipEvent.PeerUnreachable(at, daemonId));
      return;
    }
    world.carry(
        id,
        daemonId,
        () -> receiver.post(event),
        () -> post(at -> new MembershipEvent.PeerUnreachable(at, daemonId)));
  }

  private void ended(String attemptId, Verdict verdict, Reason reason) {
    Verdict told = world.has(Mechanism.VERDICTS) ? verdict : Verdict.NOT_RUN;
    ownerOf.remove(attemptId);
    post(
        at ->
            new RequestEvent.AttemptEnded(
                at, attemptId, Outcome.failed(told, reason, reason.label())));
  }

  private void readList() {
    long askedMs = world.time.nowMs();
    List<VmEntry> list = world.list();
    world.time.after(
        1 + world.random.nextInt(20),
        () -> post(at -> new PlatformEvent.VmsListed(at, askedMs, list)));
  }

  private void readSheet() {
    long askedMs = world.time.nowMs();
    if (world.keyValueDown) {
      world.time.after(300, () -> post(PlatformEvent.SheetReadFailed::new));
      return;
    }
    Sheet sheet = world.sheet();
    long delayMs = world.random.nextInt(4) == 0 ? 1_400 : 5;
    world.time.after(delayMs, () -> post(at -> new PlatformEvent.SheetRead(at, askedMs, sheet)));
  }

  private void askLoads() {
    for (String targetId : polled) {
      Target target = world.targets.get(targetId);
      if (world.isCut(id, targetId) || !target.alive) {
        post(at -> new PlatformEvent.LoadFailed(at, targetId));
        continue;
      }
      boolean leaving = target.leavingSinceMs <= world.time.nowMs();
      EngineLoad load = new EngineLoad(1_000, 0, 16, 0, 0, 0, 0, 20, leaving, List.of(World.MODEL));
      world.time.after(3, () -> post(at -> new PlatformEvent.LoadReported(at, targetId, load)));
    }
  }

  private void thaw() {
    if (world.time.nowMs() < frozenUntilMs) {
      return;
    }
    List<Runnable> actions = List.copyOf(held);
    held.clear();
    actions.forEach(this::run);
  }

  private void every(long periodMs, Runnable action) {
    run(action);
    if (alive) {
      world.time.after(periodMs, () -> every(periodMs, action));
    }
  }

  private void receive(String attemptId, String requestId, long sequence, String madeFor) {
    Answer answer = answers.get(requestId);
    if (answer == null || answer.over) {
      return;
    }
    if (world.has(Mechanism.GENERATION_GUARD) && answer.misses(attemptId, sequence)) {
      breakOff(attemptId);
      return;
    }
    if (!answer.admits(attemptId, sequence) && world.has(Mechanism.GENERATION_GUARD)) {
      return;
    }
    if (answer.spec.streamed()) {
      world.oracle.token(requestId, attemptId, madeFor, sequence);
    }
    if (sequence == 1) {
      post(at -> new RequestEvent.AttemptStarted(at, attemptId, ""));
    } else if (sequence % 8 == 0) {
      post(at -> new RequestEvent.AttemptProgressed(at, attemptId, (int) sequence, 20));
    }
  }

  /** Gives up a connection over which a part was lost. */
  private void breakOff(String attemptId) {
    Leg leg = legs.remove(attemptId);
    if (leg != null) {
      leg.closed = true;
    }
    ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED);
  }

  /** Takes a message about an attempt, unless its connection with the owner broke before. */
  private void fromOwner(String ownerId, String attemptId, Consumer<Host> action) {
    if (ownerId.equals(ownerOf.get(attemptId))) {
      action.accept(this);
    }
  }

  private void receiveEnd(String attemptId, String requestId, int tokens) {
    Answer answer = answers.get(requestId);
    if (answer == null || answer.over) {
      return;
    }
    if (!answer.isWhole(attemptId, tokens)) {
      breakOff(attemptId);
      return;
    }
    answer.over = true;
    world.oracle.finished(requestId, tokens);
    ownerOf.remove(attemptId);
    post(at -> new RequestEvent.AttemptEnded(at, attemptId, Outcome.finished(tokens)));
  }

  /** Reads one attempt from its target, for a caller here or for the daemon that forwarded it. */
  private final class Leg implements Target.Reader {

    private final String attemptId;
    private final Target target;
    private boolean closed;

    private Leg(String attemptId, Target target) {
      this.attemptId = attemptId;
      this.target = target;
    }

    @Override
    public void token(long sequence, String madeFor) {
      world.carry(target.id, id, () -> run(() -> take(sequence, madeFor)), this::lost);
    }

    @Override
    public void whole(int tokens) {
      world.carry(target.id, id, () -> run(() -> takeEnd(tokens)), this::lost);
    }

    @Override
    public void lost() {
      if (closed) {
        return;
      }
      closed = true;
      relay(entry -> entry.ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED));
      ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED);
    }

    private void take(long sequence, String madeFor) {
      if (closed) {
        return;
      }
      String requestId = requestOf(attemptId);
      if (!relay(entry -> entry.receive(attemptId, requestId, sequence, madeFor))) {
        receive(attemptId, requestId, sequence, madeFor);
      }
    }

    private void takeEnd(int tokens) {
      if (closed) {
        return;
      }
      closed = true;
      legs.remove(attemptId);
      String requestId = requestOf(attemptId);
      if (relay(entry -> entry.receiveEnd(attemptId, requestId, tokens))) {
        forgetForwarded(attemptId);
        post(at -> new RequestEvent.AttemptEnded(at, attemptId, Outcome.finished(tokens)));
      } else {
        receiveEnd(attemptId, requestId, tokens);
      }
    }

    /** Sends to the daemon that forwarded the attempt; false where it is one of this daemon's. */
    private boolean relay(Consumer<Host> action) {
      String entryId = entryOf.get(attemptId);
      if (entryId == null) {
        return false;
      }
      Host entry = world.hosts.get(entryId);
      world.carry(
          id,
          entryId,
          () -> entry.run(() -> entry.fromOwner(id, attemptId, action)),
          () -> {
            entry.ended(attemptId, Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED);
            run(() -> entryGone(attemptId));
          });
      return true;
    }

    private String requestOf(String attempt) {
      return attempt.substring(0, attempt.lastIndexOf('-'));
    }
  }

  /** Holds the answer to one caller, guarded as the daemon guards it. */
  private static final class Answer {

    private final RequestSpec spec;
    private String attemptId = "";
    private long last;
    private boolean over;

    private Answer(RequestSpec spec) {
      this.spec = spec;
    }

    private boolean admits(String fromAttempt, long sequence) {
      if (!fromAttempt.equals(attemptId)) {
        if (spec.streamed() && last > 0) {
          return false;
        }
        attemptId = fromAttempt;
        last = 0;
      }
      if (sequence != last + 1) {
        return false;
      }
      last = sequence;
      return true;
    }

    private boolean misses(String fromAttempt, long sequence) {
      if (spec.streamed() && last > 0 && !fromAttempt.equals(attemptId)) {
        return false;
      }
      return sequence > (fromAttempt.equals(attemptId) ? last : 0) + 1;
    }

    private boolean isWhole(String fromAttempt, int tokens) {
      return spec.kind() == RequestKind.SERVICE_CALL
          || (fromAttempt.equals(attemptId) && last == tokens);
    }
  }
}
