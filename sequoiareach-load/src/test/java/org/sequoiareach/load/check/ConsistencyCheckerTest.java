package org.sequoiareach.load.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.check.TargetObservations.GenerationCounts;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.trace.Arrival;
import org.sequoiareach.model.request.Verdict;

class ConsistencyCheckerTest {

  private static final RequestClass QUOTE = TestSettings.quote(true, ResumeSettings.NEVER);
  private static final RequestClass BOOKING = TestSettings.booking();
  private static final RequestClass LOOKUP = TestSettings.lookup();
  private static final TargetObservations NO_RUNS = observations(0, 0, Set.of(), List.of());

  static Stream<Arguments> violations() {
    return Stream.of(
        arguments(
            QUOTE,
            Ending.REFUSED,
            Verdict.NOT_RUN,
            observations(1, 0, Set.of(), List.of()),
            FaultKind.NOT_RUN_BUT_RAN),
        arguments(
            BOOKING,
            Ending.REFUSED,
            Verdict.NOT_RUN,
            observations(0, 1, Set.of(), List.of()),
            FaultKind.NOT_RUN_BUT_RAN),
        arguments(
            LOOKUP,
            Ending.REFUSED,
            Verdict.NOT_RUN,
            observations(0, 0, Set.of("/bookings/id-1x?a=b"), List.of()),
            FaultKind.NOT_RUN_BUT_RAN),
        arguments(
            BOOKING,
            Ending.FAILED,
            Verdict.MAY_HAVE_RUN,
            observations(0, 2, Set.of(), List.of()),
            FaultKind.RAN_MORE_THAN_ONCE),
        arguments(
            BOOKING,
            Ending.FINISHED,
            null,
            observations(0, 2, Set.of(), List.of()),
            FaultKind.RAN_MORE_THAN_ONCE),
        arguments(QUOTE, Ending.FINISHED, null, NO_RUNS, FaultKind.FINISHED_BUT_NEVER_RAN),
        arguments(BOOKING, Ending.FINISHED, null, NO_RUNS, FaultKind.FINISHED_BUT_NEVER_RAN));
  }

  @ParameterizedTest
  @MethodSource("violations")
  void detectsViolation(
      RequestClass requestClass,
      Ending ending,
      Verdict verdict,
      TargetObservations targets,
      FaultKind kind) {
    RequestResult result = result(requestClass, ending, verdict, List.of());

    List<Violation> found =
        ConsistencyChecker.findViolations(List.of(result), Optional.of(targets));

    assertThat(found).extracting(violation -> violation.fault().kind()).containsExactly(kind);
    assertThat(found.get(0).toString()).startsWith("id-1x (").contains(kind.label());
  }

  static Stream<Arguments> consistentRecords() {
    return Stream.of(
        arguments(QUOTE, Ending.FINISHED, null, observations(1, 0, Set.of(), List.of())),
        arguments(QUOTE, Ending.FINISHED, null, observations(2, 0, Set.of(), List.of())),
        arguments(QUOTE, Ending.FINISHED, null, observations(0, 0, Set.of(), List.of("http://e"))),
        arguments(QUOTE, Ending.REFUSED, Verdict.NOT_RUN, NO_RUNS),
        arguments(
            BOOKING, Ending.FAILED, Verdict.MAY_HAVE_RUN, observations(0, 1, Set.of(), List.of())),
        arguments(BOOKING, Ending.FAILED, Verdict.MAY_HAVE_RUN, NO_RUNS),
        arguments(BOOKING, Ending.FINISHED, null, observations(0, 1, Set.of(), List.of())),
        arguments(LOOKUP, Ending.FINISHED, null, NO_RUNS));
  }

  @ParameterizedTest
  @MethodSource("consistentRecords")
  void findsNoViolationInConsistentRecords(
      RequestClass requestClass, Ending ending, Verdict verdict, TargetObservations targets) {
    RequestResult result = result(requestClass, ending, verdict, List.of());

    assertThat(ConsistencyChecker.findViolations(List.of(result), Optional.of(targets))).isEmpty();
  }

  @Test
  void reportsAnswerFaultsWithoutRecords() {
    Fault fault = new Fault(FaultKind.CROSSED_ANSWER, "token 'b:1'");
    RequestResult result = result(QUOTE, Ending.FAILED, null, List.of(fault));

    assertThat(ConsistencyChecker.findViolations(List.of(result), Optional.empty()))
        .containsExactly(new Violation("id-1x", "quote", fault));
  }

  private static RequestResult result(
      RequestClass requestClass, Ending ending, Verdict verdict, List<Fault> faults) {
    return new RequestResult(
        "id-1x",
        new Arrival(0, 0, requestClass, TestSettings.SHOP, 1, 1, false),
        ending,
        ending == Ending.FINISHED ? "" : "some-reason",
        Optional.ofNullable(verdict),
        false,
        new Timings(Optional.empty(), new long[0], 1),
        0,
        faults);
  }

  private static TargetObservations observations(
      int generations, long runs, Set<String> paths, List<String> missing) {
    return new TargetObservations(
        generations == 0 ? Map.of() : Map.of("id-1x", new GenerationCounts(generations, 0, 1)),
        runs == 0 ? Map.of() : Map.of("id-1x", runs),
        paths,
        missing);
  }
}
