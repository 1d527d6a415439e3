package org.sequoiareach.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.sequoiareach.decision.limit.PermitStrategy;
import org.sequoiareach.decision.limit.UrgencyPermitStrategy;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUse;

/**
 * Chooses the target of a call. Targets without a rate limit come first, unless none has a free
 * slot or the latest answer of a limited target is outdated. Not thread-safe.
 */
final class CallPlacement {

  /** The targets with a rate limit that are tried for a call before it is refused. */
  private static final int MAX_PERMIT_REQUESTS = 2;

  /** The time that a call waits for a permit of a cold target before the next one is tried. */
  private static final long MAX_COLD_WAIT_MS = 50;

  /** The part of its time left that a plain call may need for its answer. */
  private static final double ANSWER_TIME_SHARE = 0.5;

  private final DispatchContext context;
  private final LimitHandler limits;
  private final RunDurationRegistry durations;
  private final PlacementStrategy serviceStrategy = new LeastOutstandingPlacement();
  private final PermitStrategy permitStrategy = new UrgencyPermitStrategy();

  CallPlacement(DispatchContext context, LimitHandler limits, RunDurationRegistry durations) {
    this.context = context;
    this.limits = limits;
    this.durations = durations;
  }

  /**
   * The choice of a target.
   *
   * @param all the available targets
   * @param target the chosen target without a rate limit; empty if none has capacity
   * @param permitTarget the limited target to request a permit for instead; empty for none
   * @param latestStartMs the latest useful start of that permit, in milliseconds
   * @param forecast what is expected of the chosen target, for the decision log; may be empty
   */
  record Choice(
      List<Candidate> all,
      Optional<Candidate> target,
      Optional<RoutedTarget> permitTarget,
      long latestStartMs,
      String forecast) {

    /** Describes the chosen target, for the decision log. */
    String describe() {
      TargetUse use = target.orElseThrow().use();
      return "waiting="
          + use.waitingPromptTokens()
          + " calls="
          + use.calls()
          + " memory="
          + use.memoryTokens()
          + " candidates="
          + all.size()
          + forecast;
    }

    /** Describes the target with the least memory in use, for the decision log. */
    String describeLeastLoaded(ActiveCall call) {
      long needed = call.expectedMemoryTokens();
      return all.stream()
          .map(Candidate::use)
          .min(Comparator.comparingLong(TargetUse::memoryTokens))
          .map(
              use ->
                  "needed="
                      + needed
                      + " least loaded: calls="
                      + use.calls()
                      + " memory="
                      + use.memoryTokens()
                      + " candidates="
                      + all.size())
          .orElse("candidates=0");
    }
  }

  Choice choose(long nowMs, ActiveCall call) {
    return choose(nowMs, call, candidate -> true);
  }

  /** Chooses a target; those without a rate limit only among the admitted ones. */
  Choice choose(long nowMs, ActiveCall call, Predicate<Candidate> admitted) {
    List<Candidate> all = context.candidates(call.service(), nowMs);
    List<Candidate> untried =
        all.stream().filter(candidate -> !call.wasTried(candidate.target().id())).toList();
    List<Candidate> unlimited =
        untried.stream()
            .filter(candidate -> !limits.isLimited(nowMs, candidate.target()))
            .filter(admitted)
            .toList();
    Optional<Candidate> target =
        chooseAmong(nowMs, call, unlimited).or(() -> chooseFull(call, unlimited));
    List<Candidate> limited =
        untried.stream()
            .filter(candidate -> mayRequestPermit(nowMs, call, candidate.target()))
            .toList();
    Optional<RoutedTarget> permitTarget =
        (limited.isEmpty() ? Optional.<Candidate>empty() : chooseAmong(nowMs, call, limited))
            .map(Candidate::target)
            .filter(scarce -> prefersPermit(nowMs, target, scarce));
    long latestStartMs = target.isPresent() ? nowMs : latestStartMs(nowMs, call);
    if (permitTarget.filter(scarce -> limits.isCold(nowMs, scarce)).isPresent()) {
      latestStartMs = Math.min(latestStartMs, nowMs + MAX_COLD_WAIT_MS);
    }
    String forecast = target.map(chosen -> describe(call, chosen)).orElse("");
    return new Choice(all, target, permitTarget, latestStartMs, forecast);
  }

  private Optional<Candidate> chooseAmong(long nowMs, ActiveCall call, List<Candidate> candidates) {
    PlacementStrategy strategy =
        call.profile().generation().isPresent() ? engineStrategy(nowMs, call) : serviceStrategy;
    return chooseBy(strategy, call, candidates);
  }

  private PlacementStrategy engineStrategy(long nowMs, ActiveCall call) {
    PrefillPlacement prefill =
        new PrefillPlacement(
            durations.getEstimator(call.service()), context.placementToleranceMs());
    OptionalLong gapMs = call.route().targetGapMs();
    if (gapMs.isEmpty()) {
      return prefill;
    }
    long firstEventMs = call.profile().arrivedMs() + call.route().targetLatencyMs() - nowMs;
    return new GapAwarePlacement(prefill, forecast(call), gapMs.getAsLong(), firstEventMs);
  }

  private GapForecast forecast(ActiveCall call) {
    return new GapForecast(context.speeds().stepTimes(call.service()));
  }

  private String describe(ActiveCall call, Candidate chosen) {
    return call.route().targetGapMs().isEmpty() || call.profile().generation().isEmpty()
        ? ""
        : forecast(call).describe(chosen);
  }

  private Optional<Candidate> chooseBy(
      PlacementStrategy strategy, ActiveCall call, List<Candidate> candidates) {
    return strategy.choose(call.profile().generation(), candidates, context.randomLong());
  }

  /**
   * Chooses a target for a stream that its caller has begun to receive, even if none has capacity:
   * a run that waits or is preempted is better than a stream that is cut.
   */
  private Optional<Candidate> chooseFull(ActiveCall call, List<Candidate> candidates) {
    return call.isStarted() ? chooseBy(serviceStrategy, call, candidates) : Optional.empty();
  }

  private boolean mayRequestPermit(long nowMs, ActiveCall call, RoutedTarget target) {
    return limits.isLimited(nowMs, target)
        && !call.wasPermitDenied(target.id())
        && call.permitDenials() < MAX_PERMIT_REQUESTS;
  }

  private boolean prefersPermit(long nowMs, Optional<Candidate> unlimited, RoutedTarget limited) {
    boolean hasFreeSlot =
        unlimited
            .filter(candidate -> candidate.use().calls() < candidate.target().slots())
            .isPresent();
    return !hasFreeSlot || limits.isProbeDue(nowMs, limited);
  }

  private long latestStartMs(long nowMs, ActiveCall call) {
    long leftMs = call.deadlineMs() - nowMs;
    long answerMs =
        call.profile()
            .generation()
            .map(durations.getEstimator(call.service())::estimateMs)
            .orElse(Math.round(ANSWER_TIME_SHARE * leftMs));
    return permitStrategy.latestStartMs(nowMs, call.deadlineMs() - answerMs, call.priority());
  }
}
