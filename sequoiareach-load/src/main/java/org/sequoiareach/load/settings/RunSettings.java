package org.sequoiareach.load.settings;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of one load run.
 *
 * @param name the name shown in reports
 * @param seed the seed of the trace
 * @param loadFactor the factor on the rate of arrivals
 * @param warmUpMs the time at the start whose requests are checked but not measured
 * @param durationMs the time in which requests arrive
 * @param maxRequests the most requests sent
 * @param drainMs the longest wait for answers after the last arrival
 * @param stallThresholdMs the gap between tokens beyond which a stream counts as stalled
 * @param callers base addresses that requests are spread over, one after another
 * @param targets the targets whose records are compared
 * @param arrivals when requests arrive
 * @param organisations who sends them
 * @param classes the request mix
 */
public record RunSettings(
    String name,
    long seed,
    double loadFactor,
    long warmUpMs,
    long durationMs,
    int maxRequests,
    long drainMs,
    long stallThresholdMs,
    List<String> callers,
    Targets targets,
    Arrivals arrivals,
    List<Organisation> organisations,
    List<RequestClass> classes) {

  /** The gap between tokens beyond which a stream counts as stalled, unless set. */
  public static final long DEFAULT_STALL_THRESHOLD_MS = 200;

  /** The longest wait for answers after the last arrival, unless set. */
  public static final long DEFAULT_DRAIN_MS = 30_000;

  /** Checks the parts and fills in what was left out. */
  public RunSettings {
    Check.hasText(name, "name");
    Check.inRange(durationMs, 1, Long.MAX_VALUE, "durationMs");
    Check.inRange(warmUpMs, 0, durationMs, "warmUpMs");
    Check.inRange(maxRequests, 1, Integer.MAX_VALUE, "maxRequests");
    Check.notNull(arrivals, "arrivals");
    loadFactor = loadFactor == 0 ? 1 : loadFactor;
    drainMs = drainMs == 0 ? DEFAULT_DRAIN_MS : drainMs;
    stallThresholdMs = stallThresholdMs == 0 ? DEFAULT_STALL_THRESHOLD_MS : stallThresholdMs;
    callers = callers == null ? List.of() : List.copyOf(callers);
    targets = targets == null ? Targets.NONE : targets;
    organisations = List.copyOf(organisations);
    classes = List.copyOf(classes);
    requireKnownOrganisations(organisations, classes);
  }

  /**
   * Replaces the seed and the load factor where given.
   *
   * @param newSeed the seed; empty to keep it
   * @param newFactor the load factor; empty to keep it
   * @return the changed settings
   */
  public RunSettings with(Optional<Long> newSeed, Optional<Double> newFactor) {
    return new RunSettings(
        name,
        newSeed.orElse(seed),
        newFactor.orElse(loadFactor),
        warmUpMs,
        durationMs,
        maxRequests,
        drainMs,
        stallThresholdMs,
        callers,
        targets,
        arrivals,
        organisations,
        classes);
  }

  /**
   * Replaces where requests go and which targets are compared.
   *
   * @param newCallers the base addresses of the callers' side
   * @param newTargets the targets
   * @return the changed settings
   */
  public RunSettings against(List<String> newCallers, Targets newTargets) {
    return new RunSettings(
        name,
        seed,
        loadFactor,
        warmUpMs,
        durationMs,
        maxRequests,
        drainMs,
        stallThresholdMs,
        newCallers,
        newTargets,
        arrivals,
        organisations,
        classes);
  }

  /**
   * Keeps only some classes, each at the rate that it has in the whole mix.
   *
   * @param names the names of the classes to keep; empty to keep all
   * @return the changed settings
   * @throws IllegalArgumentException if a name is unknown
   */
  public RunSettings only(Collection<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    List<RequestClass> kept =
        classes.stream().filter(requestClass -> names.contains(requestClass.name())).toList();
    Check.isTrue(
        kept.size() == Set.copyOf(names).size(), "There is no class for each of " + names + ".");
    double share = totalWeight(kept) / totalWeight(classes);
    Arrivals thinned = new Arrivals(arrivals.ratePerSecond() * share, arrivals.burst());
    return new RunSettings(
        name,
        seed,
        loadFactor,
        warmUpMs,
        durationMs,
        maxRequests,
        drainMs,
        stallThresholdMs,
        callers,
        targets,
        thinned,
        organisations,
        kept);
  }

  /**
   * Requires that every class has somewhere to go.
   *
   * @throws IllegalArgumentException if neither a class nor the run names callers
   */
  public void requireCallers() {
    for (RequestClass requestClass : classes) {
      Check.isTrue(
          !callers.isEmpty() || !requestClass.callers().isEmpty(),
          "Class '" + requestClass.name() + "' has no callers to go to.");
    }
  }

  private static double totalWeight(List<RequestClass> classes) {
    return classes.stream().mapToDouble(RequestClass::weight).sum();
  }

  private static void requireKnownOrganisations(
      List<Organisation> organisations, List<RequestClass> classes) {
    Set<String> names = new HashSet<>();
    organisations.forEach(organisation -> names.add(organisation.name()));
    for (RequestClass requestClass : classes) {
      for (String wanted : requestClass.organisations()) {
        Check.isTrue(
            names.contains(wanted),
            "Class '" + requestClass.name() + "' names the unknown organisation '" + wanted + "'.");
      }
    }
  }
}
