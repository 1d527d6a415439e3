package org.sequoiareach.load.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The combined execution records of the targets, by request.
 *
 * @param generations the generations that engines ran, by marker
 * @param runsByKey how often services ran each call, by idempotency key
 * @param servicePaths the paths of the service calls that ran
 * @param missing the addresses of targets whose record could not be fetched
 */
public record TargetObservations(
    Map<String, GenerationCounts> generations,
    Map<String, Long> runsByKey,
    Set<String> servicePaths,
    List<String> missing) {

  /** Copies the components. */
  public TargetObservations {
    generations = Map.copyOf(generations);
    runsByKey = Map.copyOf(runsByKey);
    servicePaths = Set.copyOf(servicePaths);
    missing = List.copyOf(missing);
  }

  /**
   * Counts over all generations that engines ran for one marker.
   *
   * @param generations the number of generations
   * @param preemptions the number of preemptions
   * @param tokens the number of generated tokens
   */
  public record GenerationCounts(int generations, int preemptions, long tokens) {

    /**
     * Adds the counts of another engine.
     *
     * @param other the other counts
     * @return the sum
     */
    public GenerationCounts plus(GenerationCounts other) {
      return new GenerationCounts(
          generations + other.generations, preemptions + other.preemptions, tokens + other.tokens);
    }
  }

  /**
   * Merges these records with those of other targets.
   *
   * @param other the other records
   * @return the merged records
   */
  public TargetObservations merge(TargetObservations other) {
    Map<String, GenerationCounts> allGenerations = new HashMap<>(generations);
    other.generations.forEach((k, v) -> allGenerations.merge(k, v, GenerationCounts::plus));
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
