package org.sequoiareach.load.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Holds what the targets saw, by request.
 *
 * @param generations what engines ran, by marker
 * @param runsByKey how often services ran calls, by idempotency key
 * @param servicePaths the paths of the service calls that ran
 * @param missing the targets whose record could not be had
 */
public record TargetObservations(
    Map<String, GenerationSeen> generations,
    Map<String, Long> runsByKey,
    Set<String> servicePaths,
    List<String> missing) {

  /** Copies the parts. */
  public TargetObservations {
    generations = Map.copyOf(generations);
    runsByKey = Map.copyOf(runsByKey);
    servicePaths = Set.copyOf(servicePaths);
    missing = List.copyOf(missing);
  }

  /**
   * Adds up what engines ran for one marker.
   *
   * @param generations how many generations there were
   * @param preemptions how often they were preempted
   * @param tokens the tokens that they generated
   */
  public record GenerationSeen(int generations, int preemptions, long tokens) {

    /**
     * Adds what another engine ran.
     *
     * @param other the other engine's part
     * @return the sum
     */
    public GenerationSeen and(GenerationSeen other) {
      return new GenerationSeen(
          generations + other.generations, preemptions + other.preemptions, tokens + other.tokens);
    }
  }

  /**
   * Joins the observations of other targets.
   *
   * @param other the other observations
   * @return all of them
   */
  public TargetObservations and(TargetObservations other) {
    Map<String, GenerationSeen> allGenerations = new HashMap<>(generations);
    other.generations.forEach((k, v) -> allGenerations.merge(k, v, GenerationSeen::and));
    Map<String, Long> allRuns = new HashMap<>(runsByKey);
    other.runsByKey.forEach((k, v) -> allRuns.merge(k, v, Long::sum));
    Set<String> allPaths = new HashSet<>(servicePaths);
    allPaths.addAll(other.servicePaths);
    return new TargetObservations(
        allGenerations,
        allRuns,
        allPaths,
        Stream.concat(missing.stream(), other.missing.stream()).toList());
  }
}
