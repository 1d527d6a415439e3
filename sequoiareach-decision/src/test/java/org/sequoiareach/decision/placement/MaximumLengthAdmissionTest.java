package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sequoiareach.decision.placement.AdmissionFixtures.attempt;
import static org.sequoiareach.decision.placement.AdmissionFixtures.load;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.placement.AdmissionDecision.Action;

class MaximumLengthAdmissionTest {

  private static final long FAR_DEADLINE_MS = 1_000_000;

  private final MaximumLengthAdmission admission =
      new MaximumLengthAdmission("t1", new AdmissionSettings(64, 2, 2_000, 0.02, 20_000, 45));

  @BeforeEach
  void reportMemory() {
    admission.recordLoad(0, load(10, 0, 10));
  }

  @ParameterizedTest
  @CsvSource({
    "40, 60, 1000000, START", // exactly fills the memory
    "40, 500, 1000000, START", // the reservation is capped at the memory
    "100, 1, 1000000, REFUSE", // the prompt alone fills the memory
    "10, 10, 0, REFUSE" // the deadline has passed
  })
  void decidesOnIdleTarget(int prompt, int max, long deadlineMs, Action expected) {
    assertThat(admission.offer(0, attempt("a", 5, prompt, max, deadlineMs)).action())
        .isEqualTo(expected);
  }

  @Test
  void ordersQueueByPriorityThenArrival() {
    admission.offer(0, attempt("running", 5, 50, 50, FAR_DEADLINE_MS));
    assertThat(admission.offer(1, attempt("low", 9, 50, 50, FAR_DEADLINE_MS)).action())
        .isEqualTo(Action.QUEUE);
    assertThat(admission.offer(2, attempt("high", 1, 50, 50, FAR_DEADLINE_MS)).action())
        .isEqualTo(Action.QUEUE);

    admission.remove(10, "running", 5);

    assertThat(admission.processQueue(10))
        .extracting(a -> a.attempt().attemptId())
        .containsExactly("high");
    admission.remove(20, "high", 5);
    assertThat(admission.processQueue(20))
        .extracting(a -> a.attempt().attemptId())
        .containsExactly("low");
  }

  @Test
  void refusesWithRetryAfterIfQueueIsFullOrTooSlow() {
    admission.offer(0, attempt("running", 5, 50, 50, FAR_DEADLINE_MS));
    // The predicted wait is the prior residence time of 10 s, in which the memory turns over once.
    AdmissionDecision tooLong = admission.offer(0, attempt("short", 5, 50, 50, 9_000));
    admission.offer(0, attempt("a", 5, 50, 50, FAR_DEADLINE_MS));
    admission.offer(0, attempt("b", 5, 50, 50, FAR_DEADLINE_MS));
    AdmissionDecision full = admission.offer(0, attempt("c", 5, 50, 50, FAR_DEADLINE_MS));

    assertThat(tooLong.action()).isEqualTo(Action.REFUSE);
    assertThat(tooLong.retryAfterMs()).isEqualTo(10_000);
    assertThat(full.action()).isEqualTo(Action.REFUSE);
    assertThat(full.retryAfterMs()).isEqualTo(20_000);
  }

  @Test
  void refusesExpiredAttemptsAndWithdrawsTheRest() {
    admission.offer(0, attempt("running", 5, 50, 50, FAR_DEADLINE_MS));
    admission.offer(0, attempt("expires", 5, 50, 50, 15_000));
    admission.offer(0, attempt("waits", 5, 50, 50, FAR_DEADLINE_MS));

    assertThat(admission.processQueue(15_000))
        .singleElement()
        .satisfies(a -> assertThat(a.action()).isEqualTo(Action.REFUSE));
    assertThat(admission.withdrawQueue(15_000))
        .extracting(PendingAttempt::attemptId)
        .containsExactly("waits");
    assertThat(admission.hint(15_000)).isEqualTo(new LoadHint("t1", 1, 0, 1.0, 0));
  }
}
