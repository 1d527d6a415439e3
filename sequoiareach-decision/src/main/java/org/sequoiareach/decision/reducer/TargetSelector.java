package org.sequoiareach.decision.reducer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.decision.routing.EjectionSettings;
import org.sequoiareach.decision.routing.OutlierEjection;
import org.sequoiareach.decision.routing.RetryBudget;
import org.sequoiareach.decision.routing.RouteChoice;
import org.sequoiareach.decision.routing.RoutingStrategy;
import org.sequoiareach.decision.routing.TargetView;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;

/**
 * Selects the target of each attempt: live, not tried before, not ejected, and within the budget of
 * retries. It learns from how attempts end.
 */
final class TargetSelector {

  /** More targets than this are sampled, so that a choice costs the same at every size. */
  static final int MOST_CANDIDATES = 64;

  private static final long JUDGE_PERIOD_MS = 1_000;

  private final String zone;
  private final TargetRegistry targets;
  private final RoutingStrategy generationRouting;
  private final RoutingStrategy serviceRouting;
  private final OwnerRole owner;
  private final EffectLog log;
  private final DrawSequence draws;
  private final HintTable hints = new HintTable();
  private final OutlierEjection ejection = new OutlierEjection(EjectionSettings.defaults());
  private final RetryBudget retries = new RetryBudget();
  private final Map<String, Integer> outstanding = new HashMap<>();
  private long judgedMs;

  TargetSelector(
      ReducerSettings settings,
      TargetRegistry targets,
      RoutingStrategy generationRouting,
      RoutingStrategy serviceRouting,
      OwnerRole owner,
      EffectLog log) {
    this.zone = settings.zone();
    this.targets = targets;
    this.generationRouting = generationRouting;
    this.serviceRouting = serviceRouting;
    this.owner = owner;
    this.log = log;
    this.draws = new DrawSequence(settings.seed());
  }

  /** Chooses the target of a request's next attempt. */
  Optional<RouteChoice> choose(long nowMs, ActiveRequest request) {
    boolean retry = request.attempts > 0;
    boolean generation = request.spec.kind() == RequestKind.GENERATION;
    RoutingStrategy strategy = generation ? generationRouting : serviceRouting;
    List<TargetView> sound = ejection.filter(nowMs, candidates(nowMs, request, strategy));
    if (retry) {
      sound = sound.stream().filter(view -> retries.allows(view.targetId())).toList();
    }
    Optional<RouteChoice> choice = strategy.choose(nowMs, request.spec, sound, draws.next());
    if (retry) {
      choice.ifPresent(chosen -> retries.trySpend(chosen.targetId()));
    }
    return choice;
  }

  void attemptBegun(String targetId) {
    outstanding.merge(targetId, 1, Integer::sum);
  }

  void attemptOver(String targetId) {
    outstanding.merge(targetId, -1, (count, change) -> count + change == 0 ? null : count + change);
  }

  /** Records what an outcome tells of its target, if anything. */
  void judge(long nowMs, ActiveRequest request, Outcome outcome) {
    if (outcome.succeeded()) {
      ejection.recordSuccess(request.targetId);
      retries.recordSuccess(request.targetId);
      return;
    }
    boolean blamed = outcome.reason().filter(r -> r == Reason.TARGET_FAILED).isPresent();
    if (blamed && ejection.recordFailure(nowMs, request.targetId, draws.next())) {
      log.control("eject", request.targetId, request.sheetVersion, outcome.message());
    }
  }

  /** Judges the engines of each model by their time between tokens, at a steady period. */
  void judgeGaps(long nowMs) {
    if (nowMs - judgedMs < JUDGE_PERIOD_MS) {
      return;
    }
    judgedMs = nowMs;
    for (List<VmEntry> engines : targets.enginesByModel()) {
      List<TargetView> siblings = engines.stream().map(vm -> view(nowMs, vm)).toList();
      for (String targetId : ejection.ejectSlowTargets(nowMs, siblings, draws.next())) {
        log.control("eject", targetId, 0, "its tokens come far slower than its siblings'");
      }
    }
  }

  void hintReceived(long nowMs, LoadHint hint) {
    hints.record(nowMs, hint);
  }

  /** Forgets what was learnt of targets that are no longer listed. */
  void retain(Predicate<String> listed) {
    ejection.retain(listed);
    retries.retain(listed);
    hints.retain(listed);
  }

  private List<TargetView> candidates(long nowMs, ActiveRequest request, RoutingStrategy strategy) {
    boolean generation = request.spec.kind() == RequestKind.GENERATION;
    VmKind kind = generation ? VmKind.ENGINE : VmKind.SERVICE;
    List<TargetView> views = new ArrayList<>();
    for (VmEntry vm : sample(targets.placeable(kind, request.spec.resource()), request, strategy)) {
      if (!request.triedTargets.contains(vm.id())) {
        views.add(view(nowMs, vm));
      }
    }
    return views;
  }

  /** Takes targets spread evenly over the list from a random start, and the preferred one. */
  private List<VmEntry> sample(
      List<VmEntry> placeable, ActiveRequest request, RoutingStrategy strategy) {
    int size = placeable.size();
    if (size <= MOST_CANDIDATES) {
      return placeable;
    }
    Set<VmEntry> sample = new LinkedHashSet<>();
    strategy
        .findPreferred(request.spec)
        .filter(targets::isPlaceable)
        .flatMap(targets::find)
        .filter(vm -> vm.serves().contains(request.spec.resource()))
        .ifPresent(sample::add);
    int start = (int) Long.remainderUnsigned(draws.next(), size);
    int step = size / MOST_CANDIDATES;
    for (int i = 0; i < MOST_CANDIDATES; i++) {
      sample.add(placeable.get((start + i * step) % size));
    }
    return List.copyOf(sample);
  }

  private TargetView view(long nowMs, VmEntry vm) {
    owner.findHint(nowMs, vm.id()).ifPresent(hint -> hints.record(nowMs, hint));
    boolean sameZone = vm.zone().equals(zone);
    return hints.view(nowMs, vm, sameZone, outstanding.getOrDefault(vm.id(), 0));
  }
}
