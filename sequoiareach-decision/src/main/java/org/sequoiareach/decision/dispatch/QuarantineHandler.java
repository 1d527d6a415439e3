package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.OwnershipStrategy;
import org.sequoiareach.decision.membership.RendezvousOwnership;
import org.sequoiareach.decision.quarantine.CommonTraitsStrategy;
import org.sequoiareach.decision.quarantine.CrashHistory;
import org.sequoiareach.decision.quarantine.Evidence;
import org.sequoiareach.decision.quarantine.QuarantineRegistry;
import org.sequoiareach.decision.quarantine.SoundRunHistory;
import org.sequoiareach.decision.quarantine.Suspicion;
import org.sequoiareach.decision.quarantine.SuspicionStrategy;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Keeps requests that crash targets away from further targets, together with the other daemons. Not
 * thread-safe.
 */
final class QuarantineHandler {

  /** The minimum interval at which crashes are compared with each other. */
  private static final long COMPARISON_INTERVAL_MS = 200;

  /** The interval at which known crashes are compared again with the requests answered since. */
  private static final long REPEATED_COMPARISON_INTERVAL_MS = 1_000;

  /** The interval at which unchanged quarantines are told again, for daemons that missed them. */
  private static final long REFRESH_INTERVAL_MS = 1_000;

  /** How much longer the daemons that do not own a quarantine wait with a trial. */
  private static final long FOREIGN_TRIAL_DELAY_MS = 60_000;

  private static final int MAX_TOLD = 64;

  /** Quarantines belong to no availability zone, so that all daemons agree on their owners. */
  private static final String ANY_ZONE = "";

  private final DispatchContext context;
  private final ActiveCalls calls;
  private final CrashHandler crashHandler;
  private final CrashHistory crashes;
  private final SoundRunHistory soundRuns = new SoundRunHistory();
  private final QuarantineRegistry registry = new QuarantineRegistry();
  private final SuspicionStrategy strategy = new CommonTraitsStrategy();
  private final Evidence evidence;
  private final OwnershipStrategy ownership = new RendezvousOwnership();
  private final PeerRotation peers;
  private final ChangeQueue<RequestTraits, Quarantine> untold = new ChangeQueue<>(MAX_TOLD);
  private final Set<RequestTraits> enforced = new HashSet<>();
  private Set<String> knownPeers = Set.of();
  private List<Member> lastPeers = List.of();
  private long comparedVersion;
  private long comparedAtMs = Long.MIN_VALUE / 2;
  private long nextRefreshMs;

  QuarantineHandler(
      DispatchContext context, ActiveCalls calls, CrashHistory crashes, CrashHandler crashHandler) {
    this.context = context;
    this.calls = calls;
    this.crashes = crashes;
    this.crashHandler = crashHandler;
    this.peers = new PeerRotation(context.membership());
    this.evidence = new Evidence(context.membership().selfId(), crashes, soundRuns, registry);
  }

  /**
   * Finds the quarantine that keeps a call from being sent. A trial is sent although one applies.
   */
  Optional<Quarantine> findRefusal(long nowMs, ActiveCall call) {
    if (registry.active().findAny().isEmpty()) {
      return Optional.empty();
    }
    Optional<Quarantine> found = registry.findInForce(nowMs, call.traits());
    if (found.isEmpty()) {
      return found;
    }
    if (isTrialDue(nowMs, found.get())) {
      Quarantine tried = registry.startTrial(nowMs, found.get());
      calls.logDecision("quarantine-trial", call, "", describe(nowMs, tried));
      tellNow(tried);
      return Optional.empty();
    }
    registry.recordMatch(nowMs, found.get());
    return found;
  }

  /** Returns whether a quarantine applies to a call in progress, or a crash points to it. */
  boolean concerns(ActiveCall call) {
    boolean quarantined =
        registry.active().anyMatch(one -> call.traits().containsAll(one.traits()));
    boolean suspected =
        !crashes.isEmpty()
            && call.target()
                .filter(at -> strategy.isSuspect(call.traits(), at.id(), evidence))
                .isPresent();
    return quarantined || suspected;
  }

  /** Returns the number of quarantines that were not lifted. */
  int activeCount() {
    return (int) registry.active().count();
  }

  /**
   * Considers whether a failed attempt shows that its target has crashed.
   *
   * @return whether the target is probed to find out
   */
  boolean onAttemptFailed(DispatchEvent.AttemptFailed event, ActiveCall call, RoutedTarget target) {
    return crashHandler.onAttemptFailed(event, call, target);
  }

  /** Returns whether a call whose connection broke off may crash the next target as well. */
  boolean mayCrashAnother(DispatchEvent.AttemptFailed event, ActiveCall call, RoutedTarget target) {
    return event.disconnected()
        && !call.isStarted()
        && !crashes.isEmpty()
        && strategy.isSuspect(call.traits(), target.id(), evidence);
  }

  /** Refuses a call that a quarantine applies to. */
  void refuse(long nowMs, ActiveCall call, Quarantine quarantine) {
    calls.refuse(
        call,
        Reason.QUARANTINED,
        "requests with the same content crashed " + quarantine.crashes() + " targets",
        Math.max(1, quarantine.trialAtMs() - nowMs),
        describe(nowMs, quarantine));
  }

  /**
   * Records that the answer of a call shows that its target survived it: it is complete, or has
   * been going on for {@value CrashHandler#ANSWER_START_MS} ms.
   */
  void onSurvived(long nowMs, ActiveCall call, long startedAtMs) {
    boolean observing = !crashes.isEmpty() || registry.active().findAny().isPresent();
    if (!observing || !call.traits().isSpecific()) {
      return;
    }
    soundRuns.add(call.service(), startedAtMs, call.traits());
    registry
        .active()
        .filter(one -> call.traits().containsAll(one.traits()))
        .toList()
        .forEach(one -> liftIfRefuted(nowMs, one, "answer to " + call.profile().requestId()));
  }

  void onQuarantinesTold(DispatchEvent.QuarantinesTold event) {
    for (Quarantine told : event.quarantines()) {
      registry
          .merge(event.nowMs(), told)
          .ifPresent(
              merged -> {
                log(
                    event.nowMs(),
                    merged.isLifted() ? "quarantine-lifted" : "quarantine-proposed",
                    merged,
                    event.daemonId());
                untold.put(merged.traits(), merged);
                liftIfRefuted(event.nowMs(), merged, "answers before the proposal");
              });
    }
  }

  void tick(long nowMs) {
    registry.expire(nowMs).forEach(lapsed -> log(nowMs, "quarantine-lapsed", lapsed, "no match"));
    if (crashes.isEmpty() && registry.all().isEmpty()) {
      soundRuns.clear();
    }
    recordSurvivors(nowMs);
    if (!crashes.isEmpty() && nowMs >= comparedAtMs + comparisonIntervalMs()) {
      comparedAtMs = nowMs;
      comparedVersion = crashes.version();
      compareCrashes(nowMs);
    }
    enforce(nowMs);
    tellPeers(nowMs);
  }

  private long comparisonIntervalMs() {
    return crashes.version() == comparedVersion
        ? REPEATED_COMPARISON_INTERVAL_MS
        : COMPARISON_INTERVAL_MS;
  }

  private void recordSurvivors(long nowMs) {
    if (crashes.isEmpty() && registry.all().isEmpty()) {
      return;
    }
    for (ActiveCall call : calls.all()) {
      boolean survived =
          call.isStarted() && nowMs - call.startedAtMs() >= CrashHandler.ANSWER_START_MS;
      if (survived && call.markSurvived()) {
        onSurvived(nowMs, call, call.startedAtMs());
      }
    }
  }

  private void compareCrashes(long nowMs) {
    Optional<Suspicion> culprit = strategy.findCulprit(evidence);
    if (culprit.isEmpty()) {
      return;
    }
    Suspicion found = culprit.get();
    Quarantine proposed = registry.propose(nowMs, found);
    log(
        nowMs,
        "quarantine-proposed",
        proposed,
        "self sound="
            + found.soundRuns()
            + " othersSound="
            + found.otherSoundRuns()
            + " othersCrashed="
            + found.otherCrashedRuns());
    tellNow(proposed);
  }

  /** Aborts the calls in progress that a quarantine which now applies would have refused. */
  private void enforce(long nowMs) {
    enforced.removeIf(traits -> registry.active().noneMatch(one -> one.traits().equals(traits)));
    List<Quarantine> applied =
        registry
            .active()
            .filter(one -> one.isInForce(nowMs) && enforced.add(one.traits()))
            .toList();
    for (Quarantine quarantine : applied) {
      log(nowMs, "quarantine-in-force", quarantine, "self");
      calls.all().stream()
          .filter(call -> !call.isStarted() && call.traits().containsAll(quarantine.traits()))
          .forEach(call -> refuse(nowMs, call, quarantine));
    }
  }

  private boolean isTrialDue(long nowMs, Quarantine quarantine) {
    boolean owned =
        ownership
            .findOwner(quarantine.traits().toString(), ANY_ZONE, context.membership().view())
            .filter(owner -> context.membership().isSelf(owner.daemonId()))
            .isPresent();
    return nowMs >= quarantine.trialAtMs() + (owned ? 0 : FOREIGN_TRIAL_DELAY_MS);
  }

  private void liftIfRefuted(long nowMs, Quarantine quarantine, String why) {
    if (quarantine.isLifted() || !strategy.isRefuted(quarantine, evidence)) {
      return;
    }
    Quarantine lifted = registry.lift(nowMs, quarantine);
    log(nowMs, "quarantine-lifted", lifted, "self " + why);
    tellNow(lifted);
  }

  private void tellNow(Quarantine quarantine) {
    tell(peers.nextRecipients(), List.of(quarantine));
  }

  private void tellPeers(long nowMs) {
    tellNewPeers();
    if (!untold.isEmpty()) {
      tell(peers.nextRecipients(), untold.take());
    }
    if (nowMs >= nextRefreshMs) {
      nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
      tell(peers.nextRecipients(), registry.all());
    }
  }

  /** Tells the daemons that have joined or started again since the last tick all that is known. */
  private void tellNewPeers() {
    List<Member> peersNow = context.membership().livePeers();
    if (peersNow == lastPeers) {
      return;
    }
    lastPeers = peersNow;
    Set<String> live = new HashSet<>();
    for (Member peer : peersNow) {
      String process = peer.daemonId() + "/" + peer.incarnation();
      live.add(process);
      if (!knownPeers.contains(process)) {
        tell(List.of(peer), registry.all());
        crashHandler.tellAll(peer.daemonId(), peer.address());
      }
    }
    knownPeers = live;
  }

  private void tell(List<Member> recipients, List<Quarantine> told) {
    if (told.isEmpty()) {
      return;
    }
    recipients.forEach(
        peer ->
            context
                .effects()
                .add(
                    new DispatchEffect.TellQuarantines(
                        peer.daemonId(), peer.address(), new ArrayList<>(told))));
  }

  private void log(long nowMs, String decision, Quarantine quarantine, String source) {
    context.logDecision(decision, "", "", "", describe(nowMs, quarantine) + " from=" + source);
  }

  private static String describe(long nowMs, Quarantine quarantine) {
    return "traits="
        + quarantine.traits()
        + " crashes="
        + quarantine.crashes()
        + " age="
        + (nowMs - quarantine.proposedAtMs())
        + "ms trials="
        + quarantine.trials();
  }
}
