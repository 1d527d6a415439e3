package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the other limits that hold for the sum of all daemons. */
class SharedLimitsTest {

  private static final int CONNECTION_LIMIT = 96;
  private static final double RETRY_RATIO = 0.2;
  private static final double RETRY_EXTRA = 52;
  private static final long RETRY_WINDOW_MS = 10_000;
  private static final long END_MS = 30_000;

  @ParameterizedTest
  @ValueSource(ints = {6, 84})
  void connectionsOfAllDaemonsFitLimitOfTarget(int daemons) {
    LimitedFleet fleet = new LimitedFleet(daemons, 2, 3);
    fleet.load(200, daemons, 6_000, END_MS);

    fleet.run(END_MS);

    assertThat(fleet.totalConnectionShares()).isBetween(daemons, CONNECTION_LIMIT);
  }

  @ParameterizedTest
  @CsvSource({"6, false", "6, true", "84, false", "84, true"})
  void secondSendsOfAllDaemonsKeepToRetryBudget(int daemons, boolean cut) {
    double perSecond = 100;
    LimitedFleet fleet = new LimitedFleet(daemons, 3, 3);
    fleet.useRoute("status");
    fleet.load(perSecond, daemons, 6_000, END_MS);
    fleet.at(8_000, fleet::failAnswers);
    if (cut) {
      fleet.at(8_000, () -> fleet.cut((from, to) -> true));
    }

    fleet.run(END_MS);

    double allowed = RETRY_RATIO * perSecond * RETRY_WINDOW_MS / 1_000 + RETRY_EXTRA;
    assertThat((double) fleet.mostSecondSends(RETRY_WINDOW_MS)).isBetween(1.0, allowed);
  }
}
