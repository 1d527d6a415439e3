package org.sequoiareach.load.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.settings.ServiceCallClass;
import org.sequoiareach.model.request.Verdict;

/** Checks the results that clients observed against the records of the targets. */
public final class ConsistencyChecker {

  private ConsistencyChecker() {}

  /**
   * Finds all violated guarantees.
   *
   * <p>Guarantees whose violation only shows as an absent entry are not checked if the record of
   * any target is missing.
   *
   * @param results the results that clients observed
   * @param targets the records of the targets; empty if no targets are checked
   * @return the violations in the order of the results
   */
  public static List<Violation> findViolations(
      List<RequestResult> results, Optional<TargetObservations> targets) {
    List<Violation> violations = new ArrayList<>();
    for (RequestResult result : results) {
      for (Fault fault : result.faults()) {
        violations.add(violation(result, fault));
      }
      targets
          .flatMap(observations -> checkRuns(result, observations))
          .ifPresent(fault -> violations.add(violation(result, fault)));
    }
    return violations;
  }

  private static Optional<Fault> checkRuns(RequestResult result, TargetObservations targets) {
    long runs = countRuns(result, targets);
    boolean notRun = result.verdict().map(Verdict.NOT_RUN::equals).orElse(false);
    if (notRun && runs > 0) {
      return fault(FaultKind.NOT_RUN_BUT_RAN, "ran " + runs + " times");
    }
    if (runs > 1 && !repeatable(result)) {
      return fault(FaultKind.RAN_MORE_THAN_ONCE, "ran " + runs + " times");
    }
    boolean identifiable =
        result.arrival().requestClass() instanceof GenerationClass || !repeatable(result);
    boolean finished = result.ending() == Ending.FINISHED;
    if (finished && runs == 0 && identifiable && targets.missing().isEmpty()) {
      return fault(FaultKind.FINISHED_BUT_NEVER_RAN, "no target has a record of it");
    }
    return Optional.empty();
  }

  private static long countRuns(RequestResult result, TargetObservations targets) {
    String id = result.requestId();
    if (result.arrival().requestClass() instanceof GenerationClass) {
      return targets.generations().containsKey(id)
          ? targets.generations().get(id).generations()
          : 0;
    }
    if (!repeatable(result)) {
      return targets.runsByKey().getOrDefault(id, 0L);
    }
    return targets.servicePaths().stream().anyMatch(path -> path.contains(id)) ? 1 : 0;
  }

  /**
   * Generations are repeatable: an engine that fails before the first token is delivered may be
   * replaced by another.
   */
  private static boolean repeatable(RequestResult result) {
    return !(result.arrival().requestClass() instanceof ServiceCallClass call) || call.repeatable();
  }

  private static Optional<Fault> fault(FaultKind kind, String detail) {
    return Optional.of(new Fault(kind, detail));
  }

  private static Violation violation(RequestResult result, Fault fault) {
    return new Violation(result.requestId(), result.arrival().requestClass().name(), fault);
  }
}
