package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays the load of uneven engines with and without a target for the gaps between events. */
class UnevenEnginesTest {

  private static final int ENGINES = 32;
  private static final long LOAD_MS = 20_000;
  private static final long END_MS = UnevenFleet.SETTLED_MS + LOAD_MS + 39_000;

  /** The share of short runs by which chance may make more of them late. */
  private static final double TOLERATED_SHARE = 0.01;

  /**
   * Guards against long runs whose events pause because they are on slow engines, and against short
   * runs that are late because they make room for long ones.
   */
  @ParameterizedTest
  @CsvSource({"1, 86, 1", "4, 24, 1.2", "6, 24, 0.5"})
  void fewerLongRunsPauseAndShortRunsAreNotLater(long seed, int daemons, double load) {
    UnevenFleet baseline = play(seed, daemons, load, false);
    UnevenFleet aware = play(seed, daemons, load, true);

    assertThat(aware.drafts().gapped()).isLessThan(baseline.drafts().gapped() / 3);
    assertThat(aware.drafts().late())
        .isLessThanOrEqualTo(baseline.drafts().late() + tolerated(aware.drafts()));
    assertThat(aware.checks().late())
        .isLessThanOrEqualTo(baseline.checks().late() + tolerated(aware.checks()));
    assertThat(aware.checks().gapped())
        .isLessThanOrEqualTo(baseline.checks().gapped() + tolerated(aware.checks()));
    assertThat(aware.refused()).isZero();
  }

  /** Guards against a worse choice than without observations while peers are silent. */
  @Test
  void ownObservationsHelpWhilePeersAreSilent() {
    UnevenFleet baseline = playSilent(false);
    UnevenFleet aware = playSilent(true);

    assertThat(aware.drafts().gapped()).isLessThan(baseline.drafts().gapped());
    assertThat(aware.refused()).isLessThanOrEqualTo(baseline.refused());
  }

  private static UnevenFleet playSilent(boolean gapAware) {
    UnevenFleet fleet = new UnevenFleet(7, 6, ENGINES, gapAware);
    fleet.cut((from, to) -> fleet.elapsedMs() > UnevenFleet.SETTLED_MS);
    fleet.load(LOAD_MS, 1);
    fleet.run(END_MS);
    return fleet;
  }

  private static UnevenFleet play(long seed, int daemons, double load, boolean gapAware) {
    UnevenFleet fleet = new UnevenFleet(seed, daemons, ENGINES, gapAware);
    fleet.load(LOAD_MS, load);
    fleet.run(END_MS);
    return fleet;
  }

  private static int tolerated(UnevenFleet.Outcome outcome) {
    return (int) Math.ceil(TOLERATED_SHARE * outcome.sent());
  }
}
