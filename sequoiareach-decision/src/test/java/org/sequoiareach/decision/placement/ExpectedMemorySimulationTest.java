package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;

/**
 * Compares expected-memory admission with pass-through admission on a simulated engine at full
 * load. Without a memory forecast the engine overcommits its memory, preempts and stalls
 * generations.
 */
class ExpectedMemorySimulationTest {

  private static final double DURATION_MS = 600_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void preemptsAndStallsAtMostOneFifthAsMuchAsPassThrough(long seed) {
    SimulatedEngine baseline = new SimulatedEngine(new PassThroughAdmission("t"), seed);
    baseline.run(SimulatedEngine.PERIOD_AT_LOAD_ONE_MS, DURATION_MS);
    SimulatedEngine predicted = new SimulatedEngine(expectedMemory(), seed);
    int offered = predicted.run(SimulatedEngine.PERIOD_AT_LOAD_ONE_MS, DURATION_MS);

    assertThat(baseline.preemptions).isGreaterThan(100);
    assertThat(predicted.preemptions * 5).isLessThanOrEqualTo(baseline.preemptions);
    assertThat(predicted.stallMs * 5).isLessThanOrEqualTo(baseline.stallMs);
    assertThat(predicted.finished + predicted.refused).isEqualTo(offered);
    assertThat(predicted.finished).isGreaterThan((int) (0.95 * offered));
  }

  private static AdmissionStrategy expectedMemory() {
    return new ExpectedMemoryAdmission(
        "t",
        AdmissionSettings.defaults(),
        new LengthStatistics(LengthSettings.defaults()),
        new FairShare());
  }
}
