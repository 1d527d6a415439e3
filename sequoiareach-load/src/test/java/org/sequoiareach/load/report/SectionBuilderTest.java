package org.sequoiareach.load.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations.GenerationCounts;
import org.sequoiareach.load.check.Timings;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.trace.Arrival;

class SectionBuilderTest {

  private static final long MS = 1_000_000;

  @Test
  void aggregatesRequestResults() {
    SectionBuilder builder = new SectionBuilder(200 * MS);
    builder.add(
        result(Ending.FINISHED, "", false, 40, 10, 250, 700, 200),
        Optional.of(new GenerationCounts(2, 3, 5)));
    builder.add(
        result(Ending.FINISHED, "", false, 60, 10, 10), Optional.of(new GenerationCounts(1, 0, 3)));
    builder.add(result(Ending.FAILED, "caller-deadline", false, 100, 1_200), Optional.empty());
    builder.add(result(Ending.REFUSED, "no-capacity", true), Optional.empty());
    builder.add(result(Ending.REFUSED, "no-capacity", false), Optional.empty());

    Section section = builder.build(2_000 * MS);

    assertThat(section.requests()).isEqualTo(5);
    assertThat(section.finished()).isEqualTo(2);
    assertThat(section.refused()).isEqualTo(2);
    assertThat(section.failed()).isEqualTo(1);
    assertThat(section.reasons())
        .containsEntry("refused: no-capacity", 2)
        .containsEntry("failed: caller-deadline", 1);
    assertThat(section.refusedWithoutRetryAfter()).isEqualTo(1);
    // 50 + 500 ms in the first answer and 1,000 ms in the third, which did not finish.
    assertThat(section.stallMs()).isEqualTo(1_550);
    assertThat(section.stallMsPerFinished()).isEqualTo(275);
    assertThat(section.stalledAnswers()).isEqualTo(2);
    assertThat(section.preemptions()).isEqualTo(3);
    assertThat(section.repeatedGenerations()).isEqualTo(1);
    // 5 + 3 + 2 tokens in 2 s.
    assertThat(section.tokens()).isEqualTo(10);
    assertThat(section.tokensPerSecond()).isEqualTo(5);
    assertThat(section.tokenGap().count()).isEqualTo(7);
    assertThat(section.firstToken().count()).isEqualTo(3);
    assertThat(section.firstToken().p50Ms()).isCloseTo(60, within(0.1));
  }

  @ParameterizedTest
  @CsvSource({"50, 500", "95, 950", "99, 990", "99.9, 999"})
  void computesPercentilesOfOneToThousand(double percentile, double expectedMs) {
    TimeHistogram histogram = new TimeHistogram();
    LongStream.rangeClosed(1, 1_000).forEach(value -> histogram.record(value * MS));

    Percentiles percentiles = histogram.percentiles();

    double value =
        percentile == 50
            ? percentiles.p50Ms()
            : percentile == 95
                ? percentiles.p95Ms()
                : percentile == 99 ? percentiles.p99Ms() : percentiles.p999Ms();
    assertThat(value).isCloseTo(expectedMs, within(expectedMs / 1_000));
    assertThat(percentiles.count()).isEqualTo(1_000);
    assertThat(percentiles.meanMs()).isCloseTo(500.5, within(0.51));
  }

  @Test
  void clampsDurationsToBetweenZeroAndOneHour() {
    TimeHistogram histogram = new TimeHistogram();
    histogram.record(Long.MAX_VALUE);
    histogram.record(-5);

    assertThat(histogram.percentiles().maxMs()).isCloseTo(3_600_000, within(3_600.0));
    assertThat(histogram.percentiles().p50Ms()).isZero();
  }

  private static RequestResult result(
      Ending ending, String reason, boolean retryAfter, long... firstAndGapsMs) {
    long[] gaps = LongStream.of(firstAndGapsMs).skip(1).map(ms -> ms * MS).toArray();
    Optional<Long> first =
        firstAndGapsMs.length == 0 ? Optional.empty() : Optional.of(firstAndGapsMs[0] * MS);
    return new RequestResult(
        "id",
        new Arrival(
            0, 0, TestSettings.quote(true, ResumeSettings.NEVER), TestSettings.SHOP, 1, 1, false),
        ending,
        reason,
        Optional.empty(),
        retryAfter,
        new Timings(first, gaps, 2_000 * MS),
        firstAndGapsMs.length,
        List.of());
  }
}
