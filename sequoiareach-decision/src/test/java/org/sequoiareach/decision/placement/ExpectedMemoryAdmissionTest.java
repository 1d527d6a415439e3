package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sequoiareach.decision.placement.AdmissionFixtures.attempt;
import static org.sequoiareach.decision.placement.AdmissionFixtures.load;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.placement.AdmissionDecision.Action;

class ExpectedMemoryAdmissionTest {

  private static final long FAR_DEADLINE_MS = 10_000_000;
  private static final int MAX_TOKENS = 4_096;

  private final LengthStatistics statistics =
      new LengthStatistics(new LengthSettings(1L << 40, 1e-6, 8));
  private final ExpectedMemoryAdmission admission =
      new ExpectedMemoryAdmission(
          "t", new AdmissionSettings(1, 2, 1_000, 0.005, 10_000, 45), statistics, new FairShare());

  @BeforeEach
  void learnLengthsAndReportMemory() {
    for (int i = 0; i < 100; i++) {
      statistics.estimator(0, new LengthKey("org", "model", "draft")).recordCompletion(0, 0, 400);
      statistics.estimator(0, new LengthKey("org", "model", "tag")).recordCompletion(0, 0, 8);
    }
    admission.recordLoad(0, load(1_200, 0, 1));
  }

  @Test
  void startsShortAnswersWhoseMaximumLengthWouldNotFit() {
    for (int i = 0; i < 8; i++) {
      AdmissionDecision tag =
          admission.offer(0, attempt("tag" + i, 5, 100, MAX_TOKENS, FAR_DEADLINE_MS, "tag"));
      assertThat(tag.action()).as("tag %s", i).isEqualTo(Action.START);
    }
  }

  @Test
  void queuesLongAnswersThatWouldOverflowMemory() {
    assertThat(offerDraft("d1", 5)).isEqualTo(Action.START);
    assertThat(offerDraft("d2", 5)).isEqualTo(Action.START);
    // 200 tokens are in use; three drafts would grow to about 3 * 500 tokens.
    assertThat(offerDraft("d3", 5)).isEqualTo(Action.QUEUE);
    assertThat(admission.hint(0).expectedFill()).isBetween(0.8, 1.0);

    admission.remove(100, "d1", 400);

    assertThat(admission.processQueue(100))
        .extracting(AdmissionDecision::action)
        .containsExactly(Action.START);
  }

  @Test
  void countsExternalLoadAfterTheReportLag() {
    assertThat(offerDraft("d1", 5)).isEqualTo(Action.START);
    admission.recordLoad(3_000, load(1_200, 600, 1, 3, 20));

    AdmissionDecision second =
        admission.offer(3_000, attempt("d2", 5, 100, MAX_TOKENS, FAR_DEADLINE_MS));

    assertThat(second.action()).isEqualTo(Action.QUEUE);
  }

  @Test
  void doesNotCountRecentlyReleasedMemoryAsExternal() {
    offerDraft("d1", 5);
    offerDraft("d2", 5);
    admission.remove(1_000, "d1", 400);
    admission.remove(1_000, "d2", 400);
    // The lagging report still includes both attempts.
    admission.recordLoad(1_100, load(1_200, 200, 1, 2, 20));

    assertThat(admission.hint(1_100).expectedFill()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"20, START", "60, QUEUE"})
  void limitsTheBatchByTimeBetweenTokens(double stepMs, Action expected) {
    admission.offer(0, attempt("tag1", 5, 10, MAX_TOKENS, FAR_DEADLINE_MS, "tag"));
    for (int i = 0; i < 200; i++) {
      admission.recordLoad(i * 10, load(1_200, 18, 1, 1, stepMs));
    }

    AdmissionDecision second =
        admission.offer(2_000, attempt("tag2", 5, 10, MAX_TOKENS, FAR_DEADLINE_MS, "tag"));

    assertThat(second.action()).isEqualTo(expected);
  }

  @Test
  void ordersQueueByPriorityThenDeadlineWithAgeing() {
    fillTarget();
    // "low" has advanced by 10 ageing steps by the time "soon" arrives.
    admission.offer(500, attempt("low", 9, 100, MAX_TOKENS, FAR_DEADLINE_MS));
    admission.offer(10_500, attempt("soon", 1, 100, MAX_TOKENS, FAR_DEADLINE_MS - 1));

    assertThat(admission.withdrawQueue(10_500))
        .extracting(PendingAttempt::attemptId)
        .containsExactly("low", "soon");
    admission.offer(20_000, attempt("late", 2, 100, MAX_TOKENS, FAR_DEADLINE_MS));
    admission.offer(20_001, attempt("soon", 2, 100, MAX_TOKENS, FAR_DEADLINE_MS - 1));
    assertThat(admission.withdrawQueue(20_001))
        .extracting(PendingAttempt::attemptId)
        .containsExactly("soon", "late");
  }

  @Test
  void newAttemptDisplacesOneThatRanksBehind() {
    fillTarget();
    admission.offer(0, attempt("q1", 5, 100, MAX_TOKENS, FAR_DEADLINE_MS));
    admission.offer(0, attempt("q2", 5, 100, MAX_TOKENS, FAR_DEADLINE_MS));
    AdmissionDecision same = admission.offer(0, attempt("q3", 5, 100, MAX_TOKENS, FAR_DEADLINE_MS));
    AdmissionDecision urgent =
        admission.offer(0, attempt("q4", 1, 100, MAX_TOKENS, FAR_DEADLINE_MS));

    assertThat(same.action()).isEqualTo(Action.REFUSE);
    assertThat(same.retryAfterMs()).isPositive();
    assertThat(urgent.action()).isEqualTo(Action.QUEUE);
    List<AdmissionDecision> refused = admission.processQueue(0);
    assertThat(refused).extracting(each -> each.attempt().attemptId()).containsExactly("q2");
    assertThat(refused).extracting(AdmissionDecision::action).containsExactly(Action.REFUSE);
  }

  @ParameterizedTest
  @CsvSource({
    "2000, 5000000, prompt of 2000 tokens does not fit into the target's memory of 1200 tokens",
    "100, 1000, cannot finish by its deadline",
    "100, 9000, predicted wait"
  })
  void refusesImmediatelyWhatCannotBeServedInTime(int prompt, long deadlineMs, String reason) {
    fillTarget();

    AdmissionDecision refused = admission.offer(0, attempt("a", 5, prompt, MAX_TOKENS, deadlineMs));

    assertThat(refused.action()).isEqualTo(Action.REFUSE);
    assertThat(refused.reason()).startsWith(reason);
  }

  @ParameterizedTest
  @CsvSource({"1, 8, 103", "1, 400, 108", "2, 8, 203", "9, 0, 900"})
  void enginePriorityIsDominatedByOrganisationPriority(int priority, double expected, int engine) {
    assertThat(EnginePriority.of(priority, expected)).isEqualTo(engine);
  }

  private void fillTarget() {
    offerDraft("d1", 5);
    offerDraft("d2", 5);
  }

  private Action offerDraft(String id, int priority) {
    return admission.offer(0, attempt(id, priority, 100, MAX_TOKENS, FAR_DEADLINE_MS)).action();
  }
}
