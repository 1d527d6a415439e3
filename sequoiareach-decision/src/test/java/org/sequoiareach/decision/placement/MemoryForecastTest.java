package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.length.LengthDistribution;
import org.sequoiareach.decision.length.LengthEstimator;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;

class MemoryForecastTest {

  private static final long HORIZON_MS = 10_000;
  private static final double TOKENS_PER_MS = 0.04;
  private static final int MAX = 4_096;

  @ParameterizedTest
  @CsvSource({"0.02, 2.05375", "0.005, 2.57583", "0.1, 1.28155"})
  void computesNormalQuantiles(double probability, double quantile) {
    assertThat(NormalQuantile.forExceedanceProbability(probability))
        .isCloseTo(quantile, within(0.00045));
  }

  @Test
  void stepTimeModelLearnsBatchAndContextCoefficients() {
    StepTimeModel model = new StepTimeModel();
    Random random = new Random(1);
    for (int i = 0; i < 3_000; i++) {
      int batch = 1 + random.nextInt(64);
      double context = batch * (100 + random.nextInt(600));
      double noise = 0.9 + 0.2 * random.nextDouble();
      model.observe(batch, context, noise * (12 + 0.3 * batch + 0.0002 * context));
    }

    assertThat(model.predictMs(1, 300)).isCloseTo(12.4, within(1.2));
    assertThat(model.predictMs(64, 30_000)).isCloseTo(37.2, within(2.0));
  }

  @ParameterizedTest
  @CsvSource({"0.02, 4", "0.02, 40", "0.005, 40"})
  void upperQuantileIsExceededAboutAsOftenAsConfigured(double probability, int generations) {
    LengthDistribution lengths = heavyTailedLengths();
    MemoryForecast forecast = new MemoryForecast(HORIZON_MS);
    forecast.reset(0, 0);
    for (int i = 0; i < generations; i++) {
      forecast.setCandidate(200, lengths.remaining(0, MAX), MAX, TOKENS_PER_MS);
      forecast.addCandidate();
    }
    forecast.clearCandidate();
    double quantile = forecast.upperQuantile(NormalQuantile.forExceedanceProbability(probability));

    Random random = new Random(7);
    int exceeded = 0;
    int runs = 4_000;
    for (int run = 0; run < runs; run++) {
      exceeded += simulatePeak(lengths, generations, random) > quantile ? 1 : 0;
    }
    // The tolerance covers that the simulated peak spans the whole horizon, whereas the quantile
    // holds at each single point.
    assertThat((double) exceeded / runs).isLessThan(2.5 * probability + 0.005);
  }

  private static double simulatePeak(LengthDistribution lengths, int generations, Random random) {
    double[] drawn = new double[generations];
    for (int i = 0; i < generations; i++) {
      drawn[i] = Math.min(MAX, lengths.remaining(0, MAX).quantile(random.nextDouble()));
    }
    double peak = 0;
    for (double more = 0; more <= HORIZON_MS * TOKENS_PER_MS; more += 4) {
      double sum = 0;
      for (double length : drawn) {
        sum += length >= more ? 200 + more : 0;
      }
      peak = Math.max(peak, sum);
    }
    return peak;
  }

  private static LengthDistribution heavyTailedLengths() {
    LengthEstimator estimator =
        new LengthStatistics(LengthSettings.defaults())
            .estimator(0, new LengthKey("org", "model", "draft"));
    Random random = new Random(3);
    for (int i = 0; i < 2_000; i++) {
      estimator.recordCompletion(0, 0, (int) Math.exp(5 + 1.1 * random.nextGaussian()));
    }
    return estimator.distribution(0);
  }
}
