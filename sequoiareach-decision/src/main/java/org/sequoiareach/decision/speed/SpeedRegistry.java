package org.sequoiareach.decision.speed;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.sequoiareach.model.route.EngineSpeed;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Registry of how slow each engine is: the observations of this daemon, and the estimates that
 * follow from them and from those of others. Not thread-safe.
 *
 * <p>An estimate with few observations tends to the average of the service. Decoding and prefilling
 * tell of each other: where one was not observed, the other one is taken for it.
 */
public final class SpeedRegistry {

  /** An observation of this duration has the weight 1. */
  private static final double FULL_WEIGHT_MS = 1_000;

  /** What else waits at the engine is known only roughly, so a prefill tells less than a stream. */
  private static final double PREFILL_WEIGHT = 0.5;

  /** The weight of the expectation beside the observations of an engine. */
  private static final double PRIOR_WEIGHT = 1;

  /** Observations that have decayed below this weight are forgotten and no longer reported. */
  private static final double MIN_WEIGHT = 0.1;

  private final Map<String, StepTimeEstimator> steps = new HashMap<>();
  private final Map<String, SpeedObservations> observed = new HashMap<>();
  private Map<String, Estimate> estimates = Map.of();
  private Map<String, EngineSlowness> averages = Map.of();

  /**
   * Returns the estimator of the step times of a service.
   *
   * @param service the name of the service
   * @return its estimator
   */
  public StepTimeEstimator stepTimes(String service) {
    return steps.computeIfAbsent(service, name -> new StepTimeEstimator());
  }

  /**
   * Records decode steps of a run.
   *
   * @param nowMs the current time
   * @param engine the engine
   * @param load its mean load meanwhile
   * @param stepCount the number of steps
   * @param durationMs their duration
   */
  public void recordDecode(
      long nowMs, RoutedTarget engine, EngineLoad load, long stepCount, long durationMs) {
    if (stepCount <= 0 || durationMs <= 0) {
      return;
    }
    double stepMs = (double) durationMs / stepCount;
    StepTimeEstimator estimator = stepTimes(engine.service());
    double expectedMs = estimator.stepMs(load);
    double ratio = SpeedBounds.boundRatio(stepMs / expectedMs);
    double weight = Math.min(1, durationMs / FULL_WEIGHT_MS);
    findObservations(nowMs, engine).ifPresent(sums -> sums.addDecode(nowMs, weight, ratio));
    double learned = SpeedBounds.boundStep(ratio / relativeSlowness(engine));
    estimator.recordStep(load, learned * expectedMs);
  }

  /**
   * Records a prefill.
   *
   * @param nowMs the current time
   * @param engine the engine
   * @param tokens the prompt tokens that were waiting there, with the own ones
   * @param durationMs the time to the first event
   */
  public void recordPrefill(long nowMs, RoutedTarget engine, long tokens, long durationMs) {
    if (tokens <= 0 || durationMs <= 0) {
      return;
    }
    StepTimeEstimator estimator = stepTimes(engine.service());
    double expectedMs = estimator.prefillMs(tokens);
    double ratio = SpeedBounds.boundRatio(durationMs / expectedMs);
    findObservations(nowMs, engine)
        .ifPresent(sums -> sums.addPrefill(nowMs, PREFILL_WEIGHT, ratio));
    double learned = SpeedBounds.boundStep(ratio / relativeSlowness(engine));
    estimator.recordPrefill(tokens, learned * expectedMs);
  }

  /**
   * Returns the recent observations of this daemon.
   *
   * @param nowMs the current time
   * @return the observations by target identity, without those that have decayed
   */
  public Map<String, EngineSpeed> local(long nowMs) {
    Map<String, EngineSpeed> sums = new HashMap<>();
    observed.forEach((id, observations) -> sums.put(id, observations.sum(nowMs)));
    sums.values().removeIf(sum -> sum.decodeWeight() + sum.prefillWeight() < MIN_WEIGHT);
    observed.keySet().retainAll(sums.keySet());
    return sums;
  }

  /**
   * Estimates anew how slow the engines are. Observations of other incarnations than the listed
   * ones are left out.
   *
   * @param local the observations of this daemon
   * @param others the sum of the observations of all others
   * @param listed finds the listed engine of an identity
   */
  public void estimate(
      Map<String, EngineSpeed> local,
      Map<String, EngineSpeed> others,
      Function<String, Optional<RoutedTarget>> listed) {
    Map<String, Map<RoutedTarget, EngineSpeed>> byService = new HashMap<>();
    addListed(byService, local, listed);
    addListed(byService, others, listed);
    Map<String, Estimate> changed = new HashMap<>();
    Map<String, EngineSlowness> changedAverages = new HashMap<>();
    byService.forEach(
        (service, speeds) -> changedAverages.put(service, estimateService(speeds, changed)));
    estimates = changed;
    averages = changedAverages;
  }

  /**
   * Returns how slow an engine is.
   *
   * @param engine the engine
   * @return its slowness, or the average of its service if this incarnation was not observed; empty
   *     if no engine of the service was
   */
  public Optional<EngineSlowness> find(RoutedTarget engine) {
    return Optional.ofNullable(estimates.get(engine.id()))
        .filter(estimate -> estimate.incarnation == engine.incarnation())
        .map(Estimate::slowness)
        .or(() -> Optional.ofNullable(averages.get(engine.service())));
  }

  private static void addListed(
      Map<String, Map<RoutedTarget, EngineSpeed>> byService,
      Map<String, EngineSpeed> speeds,
      Function<String, Optional<RoutedTarget>> listed) {
    speeds.forEach(
        (id, speed) ->
            listed
                .apply(id)
                .filter(engine -> engine.incarnation() == speed.incarnation())
                .ifPresent(
                    engine ->
                        byService
                            .computeIfAbsent(engine.service(), name -> new HashMap<>())
                            .merge(engine, speed, EngineSpeed::plus)));
  }

  /** Estimates the engines of a service, and returns the average one. */
  private static EngineSlowness estimateService(
      Map<RoutedTarget, EngineSpeed> speeds, Map<String, Estimate> estimates) {
    double decodeMean = 1;
    double prefillMean = 1;
    double decodeCount = 1;
    double prefillCount = 1;
    for (EngineSpeed speed : speeds.values()) {
      // Each engine counts once, or those that are used most would set the average.
      double decodeWeight = Math.min(1, speed.decodeWeight());
      double prefillWeight = Math.min(1, speed.prefillWeight());
      decodeMean += decodeWeight * ratio(speed.decodeRatio(), speed.decodeWeight());
      prefillMean += prefillWeight * ratio(speed.prefillRatio(), speed.prefillWeight());
      decodeCount += decodeWeight;
      prefillCount += prefillWeight;
    }
    double decodeAverage = decodeMean / decodeCount;
    double prefillAverage = prefillMean / prefillCount;
    speeds.forEach(
        (engine, speed) ->
            estimates.put(
                engine.id(),
                new Estimate(
                    engine.incarnation(), estimateEngine(speed, decodeAverage, prefillAverage))));
    return new EngineSlowness(decodeAverage, prefillAverage, 1);
  }

  private static EngineSlowness estimateEngine(
      EngineSpeed speed, double decodeAverage, double prefillAverage) {
    double byDecode = shrink(speed.decodeRatio() / decodeAverage, speed.decodeWeight(), 1);
    double byPrefill = shrink(speed.prefillRatio() / prefillAverage, speed.prefillWeight(), 1);
    double decode = shrink(speed.decodeRatio() / decodeAverage, speed.decodeWeight(), byPrefill);
    double prefill = shrink(speed.prefillRatio() / prefillAverage, speed.prefillWeight(), byDecode);
    return new EngineSlowness(decode * decodeAverage, prefill * prefillAverage, decode);
  }

  /** Returns the mean of observations and an expectation. */
  private static double shrink(double sum, double weight, double expected) {
    return (sum + PRIOR_WEIGHT * expected) / (weight + PRIOR_WEIGHT);
  }

  private static double ratio(double sum, double weight) {
    return weight > 0 ? sum / weight : 1;
  }

  private double relativeSlowness(RoutedTarget engine) {
    return find(engine).map(EngineSlowness::relative).orElse(1.0);
  }

  /** Finds the sums of an incarnation; empty if a later one was observed. */
  private Optional<SpeedObservations> findObservations(long nowMs, RoutedTarget engine) {
    SpeedObservations known = observed.get(engine.id());
    if (known != null && known.incarnation() > engine.incarnation()) {
      return Optional.empty();
    }
    if (known == null || known.incarnation() < engine.incarnation()) {
      known = new SpeedObservations(nowMs, engine.incarnation());
      observed.put(engine.id(), known);
    }
    return Optional.of(known);
  }

  private record Estimate(long incarnation, EngineSlowness slowness) {}
}
