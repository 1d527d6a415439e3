package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.model.route.StatedRate;

class AnswerAssessmentTest {

  private static final String REQUEST = "r-1";

  @ParameterizedTest
  @CsvSource({
    "r-1, true, false, true, false, REJECTED",
    "r-1, true, false, true, true, REJECTED",
    "r-1, true, false, false, false, REJECTED",
    "r-1, false, true, true, false, WRONG_TARGET",
    "r-1, true, true, true, false, WRONG_TARGET",
    "r-1, false, false, true, false, UNCONFIRMED_REJECTION",
    "r-1, false, false, true, true, UNCONFIRMED_REJECTION",
    "r-1, false, false, false, true, ENCODED",
    "r-1, false, false, false, false, OWN_ANSWER",
    "r-2, true, false, true, false, UNATTRIBUTED",
    "r-2, false, true, true, false, UNATTRIBUTED",
    "r-2, false, false, true, false, UNATTRIBUTED",
    "r-2, false, false, false, false, UNATTRIBUTED",
    ", true, false, true, false, UNATTRIBUTED",
    ", false, true, true, false, UNATTRIBUTED",
    ", false, false, false, false, UNATTRIBUTED",
  })
  void provesNotRunOnlyForRequestThatAnswerNames(
      String named,
      boolean rejected,
      boolean otherTarget,
      boolean impliesNotRun,
      boolean encoded,
      AnswerAssessment expected) {
    AnswerHead head =
        new AnswerHead(
            Optional.ofNullable(named),
            rejected,
            otherTarget,
            impliesNotRun,
            encoded,
            false,
            0,
            Optional.empty(),
            StatedRate.NONE,
            false);

    AnswerAssessment assessment = AnswerAssessment.of(head, REQUEST);

    assertThat(assessment).isEqualTo(expected);
    boolean notRun = assessment.fault().filter(fault -> !fault.mayHaveRun()).isPresent();
    assertThat(notRun && !REQUEST.equals(named)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "UNATTRIBUTED, true",
    "ENCODED, true",
    "UNCONFIRMED_REJECTION, true",
    "REJECTED, false",
    "WRONG_TARGET, false"
  })
  void impliesFaultOfSameStrength(AnswerAssessment assessment, boolean mayHaveRun) {
    assertThat(assessment.fault().map(AttemptFault::mayHaveRun)).contains(mayHaveRun);
  }
}
