package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.fleet.TargetTable;
import org.sequoiareach.decision.fleet.UseLedger;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.routing.EjectionSettings;
import org.sequoiareach.decision.routing.OutlierEjection;
import org.sequoiareach.decision.routing.TargetView;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedService;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;

/** Holds what the roles of the dispatch share. Not thread-safe. */
final class DispatchContext {

  /**
   * Targets return soon, since a cut or a fault of a target lasts seconds; a third of a service at
   * most is left out, so that the rest can carry its load.
   */
  private static final EjectionSettings EJECTION =
      new EjectionSettings(3, 1_000, 60_000, 1_500, 6_000, 0.34);

  /** Longer than any notice; whoever learns of it later finds the target gone. */
  private static final long LEAVING_TOLD_MS = 3_000;

  private final MembershipReducer membership;
  private final SplittableRandom random;
  private final DispatchReducer.EffectList effects = new DispatchReducer.EffectList();
  private final TargetTable targets = new TargetTable();
  private final UseLedger ledger = new UseLedger();
  private final OutlierEjection ejection = new OutlierEjection(EJECTION);
  private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
  private DispatchSettings settings;
  private Optional<RouteIndex> index = Optional.empty();
  private final Map<String, Long> leavingSinceMs = new LinkedHashMap<>();
  private int mostDaemons = 1;
  private int mostInZone = 1;
  private Optional<DrainAdmission> drain = Optional.empty();

  DispatchContext(DispatchSettings settings, MembershipReducer membership) {
    this.settings = settings;
    this.membership = membership;
    this.random = new SplittableRandom(settings.seed());
  }

  DispatchSettings settings() {
    return settings;
  }

  void use(DispatchSettings changed) {
    settings = changed;
    note("settings", "", "", "", "zone=" + changed.zone() + " retryRatio=" + changed.retryRatio());
  }

  MembershipReducer membership() {
    return membership;
  }

  DispatchReducer.EffectList log() {
    return effects;
  }

  TargetTable targets() {
    return targets;
  }

  UseLedger ledger() {
    return ledger;
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

  long draw() {
    return random.nextLong();
  }

  /** Returns a number from a closed range. */
  long drawBetween(long least, long most) {
    return random.nextLong(least, most + 1);
  }

  /** Returns the most daemons that were ever seen alive, this one included. */
  int mostDaemons() {
    mostDaemons = Math.max(mostDaemons, membership.view().owners().size());
    return mostDaemons;
  }

  /** Returns the daemons of this zone, as far as the membership knows them. */
  ZoneDaemons zoneDaemons() {
    List<Member> neighbours =
        membership.livePeers().stream()
            .filter(member -> member.zone().equals(settings.zone()))
            .toList();
    mostInZone = Math.max(mostInZone, neighbours.size() + 1);
    int taking = (int) neighbours.stream().filter(Member::canOwnTargets).count();
    return new ZoneDaemons(taking, mostInZone);
  }

  /** Returns how the daemon admits streams while it stops; empty unless it does. */
  Optional<DrainAdmission> drain() {
    return drain;
  }

  void startDrain(DrainAdmission admission) {
    drain = Optional.of(admission);
  }

  /** Notes that a target was seen to leave, so that other daemons are told. */
  void noteLeaving(long nowMs, String targetId) {
    leavingSinceMs.put(targetId, nowMs);
  }

  /** Returns the targets that were seen to leave within {@value #LEAVING_TOLD_MS} ms. */
  List<String> leavingLately(long nowMs) {
    leavingSinceMs.values().removeIf(sinceMs -> nowMs - sinceMs > LEAVING_TOLD_MS);
    return List.copyOf(leavingSinceMs.keySet());
  }

  SharedRetryBudget budgetOf(String service) {
    return budgets.computeIfAbsent(service, name -> new SharedRetryBudget());
  }

  Optional<EngineTraits> engineOf(String service) {
    return index.flatMap(known -> known.findService(service)).flatMap(RoutedService::engine);
  }

  /** Returns the targets of a service that may get work, without those that keep failing. */
  List<Candidate> candidates(String service, long nowMs) {
    Optional<EngineTraits> engine = engineOf(service);
    List<RoutedTarget> placeable = targets.placeable(service, nowMs);
    List<TargetView> views = new ArrayList<>();
    for (RoutedTarget target : placeable) {
      boolean sameZone = target.zone().equals(settings.zone());
      views.add(new TargetView(target.id(), target.zone(), sameZone, 0, Optional.empty(), 0));
    }
    List<Candidate> candidates = new ArrayList<>();
    for (TargetView view : ejection.filter(nowMs, views)) {
      RoutedTarget target = targets.find(view.targetId()).orElseThrow();
      candidates.add(new Candidate(target, view.sameZone(), ledger.useOf(target.id()), engine));
    }
    return candidates;
  }

  /** Writes a line to the log of decisions. */
  void note(
      String decision, String requestId, String organisation, String targetId, String reason) {
    effects.add(
        new Effect.LogDecision(
            decision, requestId, organisation, targetId, sheetVersion(), reason, List.of()));
  }
}
