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
 * Selects the target of each attempt.
 *
 * <p>Candidates accept new work, were not tried before for the request, are not ejected as outliers
 * and, for a retry, have retry budget left. The outcomes of attempts feed the outlier ejection and
 * the retry budget.
 */
final class TargetSelector {

  /** Larger target lists are sampled down to this size, which bounds the cost of a choice. */
  static final int MAX_CANDIDATES = 64;

  private static final long GAP_CHECK_PERIOD_MS = 1_000;

  private final String zone;
  private final TargetRegistry targets;
  private final RoutingStrategy generationRouting;
  private final RoutingStrategy serviceRouting;
  private final AdmissionController admissionController;
  private final EffectCollector effects;
  private final SeededRandom random;
  private final LoadHintTable hints = new LoadHintTable();
  private final OutlierEjection ejection = new OutlierEjection(EjectionSettings.defaults());
  private final RetryBudget retries = new RetryBudget();
  private final Map<String, Integer> outstanding = new HashMap<>();
  private long gapsCheckedMs;

  TargetSelector(
      ReducerSettings settings,
      TargetRegistry targets,
      RoutingStrategy generationRouting,
      RoutingStrategy serviceRouting,
      AdmissionController admissionController,
      EffectCollector effects) {
    this.zone = settings.zone();
    this.targets = targets;
    this.generationRouting = generationRouting;
    this.serviceRouting = serviceRouting;
    this.admissionController = admissionController;
    this.effects = effects;
    this.random = new SeededRandom(settings.seed());
  }

  /** Selects the target of a request's next attempt. */
  Optional<RouteChoice> choose(long nowMs, ActiveRequest request) {
    boolean retry = request.attempts > 0;
    boolean generation = request.spec.kind() == RequestKind.GENERATION;
    RoutingStrategy strategy = generation ? generationRouting : serviceRouting;
    List<TargetView> eligible = ejection.filter(nowMs, candidates(nowMs, request, strategy));
    if (retry) {
      eligible = eligible.stream().filter(view -> retries.allows(view.targetId())).toList();
    }
    Optional<RouteChoice> choice = strategy.choose(nowMs, request.spec, eligible, random.next());
    if (retry) {
      choice.ifPresent(chosen -> retries.trySpend(chosen.targetId()));
    }
    return choice;
  }

  void attemptStarted(String targetId) {
    outstanding.merge(targetId, 1, Integer::sum);
  }

  void attemptEnded(String targetId) {
    outstanding.merge(targetId, -1, (count, change) -> count + change == 0 ? null : count + change);
  }

  /** Updates the outlier ejection and the retry budget of the target with an outcome. */
  void recordOutcome(long nowMs, ActiveRequest request, Outcome outcome) {
    if (outcome.succeeded()) {
      ejection.recordSuccess(request.targetId);
      retries.recordSuccess(request.targetId);
      return;
    }
    boolean targetFailed = outcome.reason().filter(r -> r == Reason.TARGET_FAILED).isPresent();
    if (targetFailed && ejection.recordFailure(nowMs, request.targetId, random.next())) {
      effects.logControl("eject", request.targetId, request.sheetVersion, outcome.message());
    }
  }

  /** Periodically ejects engines whose token gap is an outlier among those of their model. */
  void ejectSlowEngines(long nowMs) {
    if (nowMs - gapsCheckedMs < GAP_CHECK_PERIOD_MS) {
      return;
    }
    gapsCheckedMs = nowMs;
    for (List<VmEntry> engines : targets.enginesByModel()) {
      List<TargetView> views = engines.stream().map(vm -> view(nowMs, vm)).toList();
      for (String targetId : ejection.ejectSlowTargets(nowMs, views, random.next())) {
        effects.logControl(
            "eject", targetId, 0, "its token gap is far above that of other engines of the model");
      }
    }
  }

  void recordHint(long nowMs, LoadHint hint) {
    hints.record(nowMs, hint);
  }

  /** Discards the state of targets that are no longer listed. */
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

  /** Samples targets evenly over the list from a random start and adds the preferred target. */
  private List<VmEntry> sample(
      List<VmEntry> placeable, ActiveRequest request, RoutingStrategy strategy) {
    int size = placeable.size();
    if (size <= MAX_CANDIDATES) {
      return placeable;
    }
    Set<VmEntry> sample = new LinkedHashSet<>();
    strategy
        .findPreferred(request.spec)
        .filter(targets::isPlaceable)
        .flatMap(targets::find)
        .filter(vm -> vm.serves().contains(request.spec.resource()))
        .ifPresent(sample::add);
    int start = (int) Long.remainderUnsigned(random.next(), size);
    int step = size / MAX_CANDIDATES;
    for (int i = 0; i < MAX_CANDIDATES; i++) {
      sample.add(placeable.get((start + i * step) % size));
    }
    return List.copyOf(sample);
  }

  private TargetView view(long nowMs, VmEntry vm) {
    admissionController.findHint(nowMs, vm.id()).ifPresent(hint -> hints.record(nowMs, hint));
    boolean sameZone = vm.zone().equals(zone);
    return hints.view(nowMs, vm, sameZone, outstanding.getOrDefault(vm.id(), 0));
  }
}
