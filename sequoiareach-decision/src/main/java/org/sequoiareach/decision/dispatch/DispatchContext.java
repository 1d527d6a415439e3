package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.fleet.BackoffRegistry;
import org.sequoiareach.decision.fleet.FleetStateTable;
import org.sequoiareach.decision.fleet.OutcomeTracker;
import org.sequoiareach.decision.fleet.TargetTable;
import org.sequoiareach.decision.fleet.TargetUseTracker;
import org.sequoiareach.decision.maintenance.MaintenanceTable;
import org.sequoiareach.decision.maintenance.WarmUpRegistry;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.routing.EjectionSettings;
import org.sequoiareach.decision.routing.OutlierEjection;
import org.sequoiareach.decision.routing.TargetView;
import org.sequoiareach.decision.speed.SpeedRegistry;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StoreHoldings;
import org.sequoiareach.model.route.TargetUse;

/** State and services shared by the handlers of the {@link DispatchReducer}. Not thread-safe. */
final class DispatchContext {

  /**
   * Ejected targets return quickly, since network cuts and target faults last seconds. At most a
   * third of the targets of a service is ejected, so that the rest can carry the load.
   */
  private static final EjectionSettings EJECTION =
      new EjectionSettings(3, 1_000, 60_000, 1_500, 6_000, 0.34);

  /**
   * How long other daemons are informed of a leaving target. It exceeds any reclaim notice; a
   * daemon that learns of the target later finds it gone.
   */
  private static final long LEAVING_REPORT_MS = 3_000;

  /** The delay of a few calls in progress, far below that of one prompt to read. */
  private static final double LARGE_FLEET_TOLERANCE_MS = 32;

  private final MembershipReducer membership;
  private final SplittableRandom random;
  private final DispatchReducer.EffectList effects = new DispatchReducer.EffectList();
  private final TargetTable targets = new TargetTable();
  private final TargetUseTracker targetUse = new TargetUseTracker();
  private final FleetStateTable fleetState = new FleetStateTable();
  private final WarmUpRegistry warmUps = new WarmUpRegistry();
  private final MaintenanceTable maintenance = new MaintenanceTable();
  private final SpeedRegistry speeds = new SpeedRegistry();
  private final OutcomeTracker outcomes = new OutcomeTracker();
  private final BackoffRegistry backoffs = new BackoffRegistry();
  private final OutlierEjection ejection = new OutlierEjection(EJECTION);
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private DispatchSettings settings;
  private Optional<RouteIndex> index = Optional.empty();
  private final Map<String, Long> leavingSinceMs = new LinkedHashMap<>();
  private int maxDaemons = 1;
  private int maxZoneDaemons = 1;
  private Optional<DrainAdmission> drain = Optional.empty();
  private boolean stopped;

  DispatchContext(DispatchSettings settings, MembershipReducer membership) {
    this.settings = settings;
    this.membership = membership;
    this.random = new SplittableRandom(settings.seed());
  }

  DispatchSettings settings() {
    return settings;
  }

  void applySettings(DispatchSettings changed) {
    settings = changed;
    logDecision(
        "settings",
        "",
        "",
        "",
        "zone="
            + changed.zone()
            + " retryRatio="
            + changed.retryRatio()
            + (changed.hedgeRatio() > 0 ? " hedgeRatio=" + changed.hedgeRatio() : ""));
  }

  MembershipReducer membership() {
    return membership;
  }

  DispatchReducer.EffectList effects() {
    return effects;
  }

  TargetTable targets() {
    return targets;
  }

  FleetStateTable fleetState() {
    return fleetState;
  }

  MaintenanceTable maintenance() {
    return maintenance;
  }

  WarmUpRegistry warmUps() {
    return warmUps;
  }

  /** Returns the requests per second that a target takes while it is cold; empty if not limited. */
  OptionalDouble findColdRate(long nowMs, RoutedTarget target) {
    if (warmUps.findEndMs(nowMs, target).isEmpty()) {
      return OptionalDouble.empty();
    }
    return index
        .flatMap(known -> known.findService(target.service()))
        .flatMap(RoutedService::warmUp)
        .filter(traits -> traits.perSecond() > 0)
        .map(traits -> OptionalDouble.of(traits.perSecond()))
        .orElse(OptionalDouble.empty());
  }

  TargetUseTracker targetUse() {
    return targetUse;
  }

  SpeedRegistry speeds() {
    return speeds;
  }

  OutcomeTracker outcomes() {
    return outcomes;
  }

  BackoffRegistry backoffs() {
    return backoffs;
  }

  OutlierEjection ejection() {
    return ejection;
  }

  Optional<RouteIndex> index() {
    return index;
  }

  void useSheet(RoutingSheet sheet) {
    index = Optional.of(new RouteIndex(sheet));
  }

  long sheetRevision() {
    return index.map(known -> known.sheet().revision()).orElse(0L);
  }

  long sheetVersion() {
    return index.map(known -> known.sheet().version()).orElse(0L);
  }

  /** Returns what this daemon holds of the store. */
  StoreHoldings holdings() {
    return new StoreHoldings(
        sheetVersion(), sheetRevision(), targets.revision(), maintenance.revision());
  }

  long randomLong() {
    return random.nextLong();
  }

  double randomDouble() {
    return random.nextDouble();
  }

  /** Returns a random number between two bounds, both inclusive. */
  long randomBetween(long min, long max) {
    return random.nextLong(min, max + 1);
  }

  /**
   * Returns the difference of delays that counts for nothing in the placing of a call. In a large
   * fleet many daemons decide on the same sums before they know of each other's choices.
   */
  double placementToleranceMs() {
    return maxDaemons() > ZoneRelays.MAX_DIRECT_PEERS + 1 ? LARGE_FLEET_TOLERANCE_MS : 0;
  }

  /** Records how many daemons another one has seen, which may know more of the fleet. */
  void recordDaemons(int seen) {
    maxDaemons = Math.max(maxDaemons, seen);
  }

  /** Returns the highest number of daemons ever seen alive at once, by this daemon or others. */
  int maxDaemons() {
    maxDaemons = Math.max(maxDaemons, membership.view().owners().size());
    return maxDaemons;
  }

  /** Counts the daemons of this availability zone, as seen by the membership. */
  ZoneDaemonCounts zoneDaemonCounts() {
    List<Member> zoneMembers =
        membership.livePeers().stream()
            .filter(member -> member.zone().equals(settings.zone()))
            .toList();
    maxZoneDaemons = Math.max(maxZoneDaemons, zoneMembers.size() + 1);
    int taking = (int) zoneMembers.stream().filter(Member::canOwnTargets).count();
    return new ZoneDaemonCounts(taking, maxZoneDaemons);
  }

  /** Returns the admission of streams during a drain; empty if the daemon is not draining. */
  Optional<DrainAdmission> drain() {
    return drain;
  }

  void startDrain(DrainAdmission admission) {
    drain = Optional.of(admission);
  }

  /** Returns whether the process is about to end. */
  boolean isStopped() {
    return stopped;
  }

  void markStopped() {
    stopped = true;
  }

  /** Records that a target was seen to be leaving, so that other daemons are informed. */
  void recordLeaving(long nowMs, String targetId) {
    leavingSinceMs.put(targetId, nowMs);
  }

  /** Returns the targets seen to be leaving within the last {@value #LEAVING_REPORT_MS} ms. */
  List<String> recentlyLeaving(long nowMs) {
    leavingSinceMs.values().removeIf(sinceMs -> nowMs - sinceMs > LEAVING_REPORT_MS);
    return List.copyOf(leavingSinceMs.keySet());
  }

  SharedRetryBudget retryBudget(String service) {
    return budgets.computeIfAbsent(service, name -> new SharedRetryBudget());
  }

  Optional<EngineTraits> engineTraits(String service) {
    return index.flatMap(known -> known.findService(service)).flatMap(RoutedService::engine);
  }

  /** Returns whether a target is available and its zone is not in maintenance. */
  boolean mayReceive(long nowMs, String targetId) {
    return targets.isAvailable(targetId, nowMs)
        && targets.find(targetId).filter(target -> !isInMaintenance(nowMs, target)).isPresent();
  }

  boolean isInMaintenance(long nowMs, RoutedTarget target) {
    return maintenance.isInMaintenance(nowMs, target.zone());
  }

  /** Returns whether new calls may be sent to a target. */
  boolean acceptsCalls(long nowMs, String targetId) {
    return mayReceive(nowMs, targetId) && !backoffs.isInForce(nowMs, targetId);
  }

  /** Returns the targets of a service to which new calls may be sent. */
  List<RoutedTarget> findAccepting(long nowMs, String service) {
    return findWithoutBackoff(nowMs, service).stream()
        .filter(target -> !isInMaintenance(nowMs, target))
        .toList();
  }

  /** Returns the available targets of a service that did not ask to be sent nothing. */
  List<RoutedTarget> findWithoutBackoff(long nowMs, String service) {
    return targets.findAvailable(service, nowMs).stream()
        .filter(target -> !backoffs.isInForce(nowMs, target.id()))
        .toList();
  }

  /** Returns when the first target of a service ends its backoff; empty if none has one. */
  OptionalLong findBackoffEndMs(long nowMs, String service) {
    return targets.findAvailable(service, nowMs).stream()
        .filter(target -> !isInMaintenance(nowMs, target))
        .mapToLong(target -> backoffs.untilMs(nowMs, target.id()))
        .filter(untilMs -> untilMs > nowMs)
        .min();
  }

  /** Returns the available targets of a service, without ejected ones and those in backoff. */
  List<Candidate> candidates(String service, long nowMs) {
    Optional<EngineTraits> engine = engineTraits(service);
    List<TargetView> views = new ArrayList<>();
    for (RoutedTarget target : findAccepting(nowMs, service)) {
      boolean sameZone = target.zone().equals(settings.zone());
      views.add(new TargetView(target.id(), target.zone(), sameZone, 0, Optional.empty(), 0));
    }
    List<Candidate> candidates = new ArrayList<>();
    for (TargetView view : ejection.filter(nowMs, views)) {
      RoutedTarget target = targets.find(view.targetId()).orElseThrow();
      TargetUse use = targetUse.useOf(target.id());
      candidates.add(new Candidate(target, view.sameZone(), use, engine, speeds.find(target)));
    }
    return candidates;
  }

  /** Adds a line to the decision log. */
  void logDecision(
      String decision, String requestId, String organisation, String targetId, String reason) {
    effects.add(
        new Effect.LogDecision(
            decision, requestId, organisation, targetId, sheetVersion(), reason, List.of()));
  }
}
