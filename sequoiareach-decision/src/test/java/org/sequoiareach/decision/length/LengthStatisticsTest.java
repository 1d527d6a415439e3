package org.sequoiareach.decision.length;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LengthStatisticsTest {

  private static final LengthKey KEY = new LengthKey("org", "model", "draft");
  private static final int NO_MAXIMUM = Integer.MAX_VALUE;

  private final LengthStatistics statistics =
      new LengthStatistics(new LengthSettings(1_000_000, 1e-6, 8));

  @ParameterizedTest
  @CsvSource({"0, 0", "3, 3", "4, 4", "7, 7", "8, 8", "9, 8", "10, 9", "16, 12", "20, 13"})
  void mapsLengthsToFourBucketsPerPowerOfTwo(int tokens, int bucket) {
    assertThat(LengthBuckets.indexOf(tokens)).isEqualTo(bucket);
    assertThat(LengthBuckets.lowerBound(bucket)).isLessThanOrEqualTo(tokens);
    assertThat(LengthBuckets.lowerBound(bucket + 1)).isGreaterThan(tokens);
  }

  @Property(tries = 300, seed = "20261203")
  void bucketBoundsEncloseEveryLength(@ForAll @IntRange(max = 1 << 20) int tokens) {
    int bucket = LengthBuckets.indexOf(tokens);
    assertThat(tokens)
        .isBetween(LengthBuckets.lowerBound(bucket), LengthBuckets.lowerBound(bucket + 1) - 1);
  }

  @Test
  void censoredAnswersCountInBucketsTheySurvived() {
    LengthEstimator estimator = statistics.estimator(0, KEY);
    // Four answers reach 64 and two end there. Of the others, one is cancelled at 128 and one ends
    // at 256.
    estimator.recordCompletion(0, 0, 64);
    estimator.recordCompletion(0, 0, 64);
    estimator.recordSurvival(0, 0, 128);
    estimator.recordCompletion(0, 0, 256);

    LengthDistribution lengths = estimator.distribution(1_000);

    assertThat(lengths.survival(64)).isCloseTo(1.0, within(1e-4));
    assertThat(lengths.survival(80)).isCloseTo(0.5, within(1e-4));
    // Ignoring the cancelled answer would give a survival of 1/3 above 80.
    assertThat(lengths.survival(256)).isCloseTo(0.5, within(1e-4));
    assertThat(lengths.survival(320)).isCloseTo(0, within(1e-4));
  }

  @Test
  void runningAnswersCountBeforeTheyEnd() {
    LengthEstimator estimator = statistics.estimator(0, KEY);
    for (int i = 0; i < 10; i++) {
      estimator.recordCompletion(0, 0, 50);
      estimator.recordSurvival(0, 0, 100);
      estimator.recordSurvival(0, 100, 1_000);
    }

    // 896 is the lower bound of the bucket of 1,000, the last one reached by the running answers.
    assertThat(estimator.distribution(1_000).survival(896)).isCloseTo(0.5, within(1e-4));
  }

  @Test
  void remainingLengthHasMomentsOfTheConditionalDistribution() {
    LengthEstimator estimator = statistics.estimator(0, KEY);
    estimator.recordCompletion(0, 0, 4);
    estimator.recordCompletion(0, 0, 6);
    // Uniform within the buckets [4, 5) and [6, 7): means 4.5 and 6.5, variance 1 + 1/12.
    RemainingLength remaining = estimator.distribution(1_000).remaining(0, NO_MAXIMUM);

    assertThat(remaining.mean(100)).isCloseTo(5.5, within(1e-3));
    assertThat(remaining.variance(100)).isCloseTo(1 + 1.0 / 12, within(1e-3));
    assertThat(remaining.mean(4)).isCloseTo(4, within(1e-3));
    assertThat(remaining.quantile(0.25)).isCloseTo(4.5, within(1e-3));
    assertThat(remaining.survival(5.5)).isCloseTo(0.5, within(1e-3));
    RemainingLength later = estimator.distribution(1_000).remaining(5, 6);
    assertThat(later.mean(100)).isCloseTo(1, within(1e-3));
    assertThat(later.survival(1.5)).isZero();
  }

  @Test
  void keyWithFewObservationsFallsBackToItsParents() {
    LengthStatistics statisticsWithPrior =
        new LengthStatistics(new LengthSettings(1_000_000, 8, 8));
    LengthKey known = new LengthKey("org", "model", "tag");
    for (int i = 0; i < 500; i++) {
      statisticsWithPrior.estimator(0, known).recordCompletion(0, 0, 20);
    }
    LengthEstimator sameOrganisation = statisticsWithPrior.estimator(0, KEY);
    LengthEstimator sameModel =
        statisticsWithPrior.estimator(0, new LengthKey("other", "model", ""));
    LengthEstimator nothingKnown =
        statisticsWithPrior.estimator(0, new LengthKey("other", "new", ""));

    assertThat(sameOrganisation.distribution(0).survival(100)).isLessThan(0.05);
    assertThat(sameModel.distribution(0).survival(100)).isLessThan(0.05);
    assertThat(nothingKnown.distribution(0).survival(100)).isGreaterThan(0.6);

    sameOrganisation.recordCompletion(1_000, 0, 4_000);
    double afterOne = sameOrganisation.distribution(1_000).survival(100);
    for (int i = 0; i < 200; i++) {
      sameOrganisation.recordCompletion(2_000, 0, 4_000);
    }
    double afterMany = sameOrganisation.distribution(2_000).survival(100);
    assertThat(afterOne).isLessThan(0.25);
    assertThat(afterMany).isGreaterThan(0.9);
  }

  @Test
  void oldObservationsLoseWeight() {
    LengthEstimator estimator =
        new LengthStatistics(new LengthSettings(1_000, 8, 8)).estimator(0, KEY);
    for (int i = 0; i < 100; i++) {
      estimator.recordCompletion(0, 0, 10);
    }
    double fresh = estimator.distribution(0).survival(100);
    estimator.recordCompletion(20_000, 0, 1_000);

    assertThat(fresh).isLessThan(0.1);
    assertThat(estimator.distribution(20_000).survival(100)).isGreaterThan(0.6);
  }

  @Test
  void evictsKeysBeyondTheBound() {
    for (int i = 0; i < 100; i++) {
      statistics.estimator(0, new LengthKey("org" + i, "model", "draft"));
    }
    assertThat(statistics.size()).isEqualTo(8);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void estimatesQuantilesFromCensoredHeavyTailedSample(long seed) {
    Random random = new Random(seed);
    LengthEstimator estimator = new LengthStatistics(LengthSettings.defaults()).estimator(0, KEY);
    int[] lengths = new int[4_000];
    for (int i = 0; i < lengths.length; i++) {
      lengths[i] = (int) Math.exp(5.5 + 1.2 * random.nextGaussian());
      int cancelledAt = (int) Math.exp(6.5 + random.nextGaussian());
      if (cancelledAt < lengths[i]) {
        estimator.recordSurvival(0, 0, cancelledAt);
      } else {
        estimator.recordCompletion(0, 0, lengths[i]);
      }
    }
    Arrays.sort(lengths);
    RemainingLength remaining = estimator.distribution(0).remaining(0, NO_MAXIMUM);
    for (double p : new double[] {0.5, 0.9, 0.95}) {
      double actual = lengths[(int) (p * lengths.length)];
      assertThat(remaining.quantile(p) / actual).as("quantile %s", p).isBetween(0.85, 1.15);
    }
  }
}
