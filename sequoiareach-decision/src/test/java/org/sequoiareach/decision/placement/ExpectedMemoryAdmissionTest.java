package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sequoiareach.decision.placement.Attempts.attempt;
import static org.sequoiareach.decision.placement.Attempts.load;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.placement.Admission.Action;

class ExpectedMemoryAdmissionTest {

  private static final long FAR = 10_000_000;
  private static final int MAX = 4_096;

  private final LengthStatistics statistics =
      new LengthStatistics(new LengthSettings(1L << 40, 1e-6, 8));
  private final ExpectedMemoryAdmission admission =
      new ExpectedMemoryAdmission(
          "t", new AdmissionSettings(1, 2, 1_000, 0.005, 10_000, 45), statistics, new FairShare());

  @BeforeEach
  void learnLengthsAndReportMemory() {
    for (int i = 0; i < 100; i++) {
      statistics.estimator(0, new LengthKey("org", "model", "draft")).ended(0, 0, 400);
      statistics.estimator(0, new LengthKey("org", "model", "tag")).ended(0, 0, 8);
    }
    admission.report(0, load(1_200, 0, 1));
  }

  @Test
  void startsShortAnswersWhereTheLongestAllowedWouldNotFit() {
    for (int i = 0; i < 8; i++) {
      Admission tag = admission.offer(0, attempt("tag" + i, 5, 100, MAX, FAR, "tag"));
      assertThat(tag.action()).as("tag %s", i).isEqualTo(Action.START);
    }
  }

  @Test
  void queuesLongAnswersThatWouldGrowOutOfMemory() {
    assertThat(offerDraft("d1", 5)).isEqualTo(Action.START);
    assertThat(offerDraft("d2", 5)).isEqualTo(Action.START);
    // 200 tokens are in use; three drafts would come to about 3 * 500 tokens.
    assertThat(offerDraft("d3", 5)).isEqualTo(Action.QUEUE);
    assertThat(admission.hint(0).expectedFill()).isBetween(0.8, 1.0);

    admission.remove(100, "d1", 400);

    assertThat(admission.review(100)).extracting(Admission::action).containsExactly(Action.START);
  }

  @Test
  void countsWhatOthersPlacedOnceTheLagHasPassed() {
    assertThat(offerDraft("d1", 5)).isEqualTo(Action.START);
    admission.report(3_000, load(1_200, 600, 1, 3, 20));

    Admission second = admission.offer(3_000, attempt("d2", 5, 100, MAX, FAR));

    assertThat(second.action()).isEqualTo(Action.QUEUE);
  }

  @Test
  void doesNotTakeWhatItJustFreedForOthersUse() {
    offerDraft("d1", 5);
    offerDraft("d2", 5);
    admission.remove(1_000, "d1", 400);
    admission.remove(1_000, "d2", 400);
    // The report still shows both.
    admission.report(1_100, load(1_200, 200, 1, 2, 20));

    assertThat(admission.hint(1_100).expectedFill()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"20, START", "60, QUEUE"})
  void boundsTheBatchByTheTimeBetweenTokens(double stepMs, Action expected) {
    admission.offer(0, attempt("tag1", 5, 10, MAX, FAR, "tag"));
    for (int i = 0; i < 200; i++) {
      admission.report(i * 10, load(1_200, 18, 1, 1, stepMs));
    }

    Admission second = admission.offer(2_000, attempt("tag2", 5, 10, MAX, FAR, "tag"));

    assertThat(second.action()).isEqualTo(expected);
  }

  @Test
  void servesByPriorityThenDeadlineAndRaisesThoseThatWait() {
    fill();
    // "soon" arrives after 10 steps of ageing, which "low" has gained by then.
    admission.offer(500, attempt("low", 9, 100, MAX, FAR));
    admission.offer(10_500, attempt("soon", 1, 100, MAX, FAR - 1));

    assertThat(admission.withdrawQueue(10_500))
        .extracting(PendingAttempt::attemptId)
        .containsExactly("low", "soon");
    admission.offer(20_000, attempt("late", 2, 100, MAX, FAR));
    admission.offer(20_001, attempt("soon", 2, 100, MAX, FAR - 1));
    assertThat(admission.withdrawQueue(20_001))
        .extracting(PendingAttempt::attemptId)
        .containsExactly("soon", "late");
  }

  @Test
  void newcomerDisplacesOneThatIsServedLater() {
    fill();
    admission.offer(0, attempt("q1", 5, 100, MAX, FAR));
    admission.offer(0, attempt("q2", 5, 100, MAX, FAR));
    Admission same = admission.offer(0, attempt("q3", 5, 100, MAX, FAR));
    Admission urgent = admission.offer(0, attempt("q4", 1, 100, MAX, FAR));

    assertThat(same.action()).isEqualTo(Action.REFUSE);
    assertThat(same.retryAfterMs()).isPositive();
    assertThat(urgent.action()).isEqualTo(Action.QUEUE);
    List<Admission> refused = admission.review(0);
    assertThat(refused).extracting(each -> each.attempt().attemptId()).containsExactly("q2");
    assertThat(refused).extracting(Admission::action).containsExactly(Action.REFUSE);
  }

  @ParameterizedTest
  @CsvSource({
    "2000, 5000000, prompt exceeds the target's memory",
    "100, 1000, cannot finish by its deadline",
    "100, 9000, predicted wait"
  })
  void refusesAtOnceWhatCannotBeServedInTime(int prompt, long deadlineMs, String reason) {
    fill();

    Admission refused = admission.offer(0, attempt("a", 5, prompt, MAX, deadlineMs));

    assertThat(refused.action()).isEqualTo(Action.REFUSE);
    assertThat(refused.reason()).startsWith(reason);
  }

  @ParameterizedTest
  @CsvSource({"1, 8, 103", "1, 400, 108", "2, 8, 203", "9, 0, 900"})
  void enginePriorityPutsTheOrganisationFirst(int priority, double expected, int engine) {
    assertThat(EnginePriority.of(priority, expected)).isEqualTo(engine);
  }

  private void fill() {
    offerDraft("d1", 5);
    offerDraft("d2", 5);
  }

  private Action offerDraft(String id, int priority) {
    return admission.offer(0, attempt(id, priority, 100, MAX, FAR)).action();
  }
}
