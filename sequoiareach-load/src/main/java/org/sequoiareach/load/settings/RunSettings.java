package org.sequoiareach.load.settings;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.model.Check;

/**
 * Settings of a load run.
 *
 * @param name the name shown in reports
 * @param seed the random seed of the trace
 * @param loadFactor the multiplier of the arrival rate; 0 selects 1
 * @param warmUpMs the initial period in milliseconds whose requests are checked but excluded from
 *     measurements
 * @param durationMs the period in milliseconds during which requests arrive
 * @param maxRequests the maximum number of requests
 * @param drainMs the maximum wait in milliseconds for responses after the last arrival; 0 selects
 *     the default
 * @param stallThresholdMs the gap between tokens in milliseconds above which a stream counts as
 *     stalled; 0 selects the default
 * @param callers base addresses that requests are sent to, in round-robin order
 * @param targets the targets whose records are checked after the run
 * @param arrivals the arrival process
 * @param organisations the sending organisations
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

  /** The default stall threshold in milliseconds. */
  public static final long DEFAULT_STALL_THRESHOLD_MS = 200;

  /** The default maximum wait for responses after the last arrival, in milliseconds. */
  public static final long DEFAULT_DRAIN_MS = 30_000;

  /** Validates the components and applies defaults. */
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
   * Returns a copy with another seed and load factor, where given.
   *
   * @param newSeed the seed; empty to keep the current one
   * @param newFactor the load factor; empty to keep the current one
   * @return the new settings
   */
  public RunSettings withOverrides(Optional<Long> newSeed, Optional<Double> newFactor) {
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
   * Returns a copy that sends requests to other addresses and checks other targets.
   *
   * @param newCallers the base addresses to send to
   * @param newTargets the targets whose records are checked
   * @return the new settings
   */
  public RunSettings withEndpoints(List<String> newCallers, Targets newTargets) {
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
   * Returns a copy restricted to some classes, each at the rate it has in the full mix.
   *
   * @param names the names of the classes to keep; empty to keep all
   * @return the new settings
   * @throws IllegalArgumentException if a name is unknown
   */
  public RunSettings withClasses(Collection<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    List<RequestClass> kept =
        classes.stream().filter(requestClass -> names.contains(requestClass.name())).toList();
    Check.isTrue(
        kept.size() == Set.copyOf(names).size(), "Some of the classes " + names + " do not exist.");
    double share = totalWeight(kept) / totalWeight(classes);
    Arrivals reduced = new Arrivals(arrivals.ratePerSecond() * share, arrivals.burst());
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
        reduced,
        organisations,
        kept);
  }

  /**
   * Checks that every class has an address to send to.
   *
   * @throws IllegalArgumentException if a class has no callers and the run has none either
   */
  public void requireCallers() {
    for (RequestClass requestClass : classes) {
      Check.isTrue(
          !callers.isEmpty() || !requestClass.callers().isEmpty(),
          "Class '"
              + requestClass.name()
              + "' has no callers: neither the class nor the run sets them.");
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
            "Class '" + requestClass.name() + "' refers to unknown organisation '" + wanted + "'.");
      }
    }
  }
}
