package org.sequoiareach.decision.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.model.route.TargetRateLimit;

class RateLimitTableTest {

  private static final long NOW_MS = 50_000;

  private final RateLimitTable table = new RateLimitTable();

  /** An empty rate stands for an answer, or a report, without a limit. */
  @ParameterizedTest
  @CsvSource({
    "3, 2, 100, 2",
    "3, 2, -100, 2",
    "3, 5, 100, 5",
    "3, 5, -100, 3",
    "3, , 100, ",
    "3, , -100, 3",
    "3, , 0, 3",
  })
  void loosensLimitOnlyByAnswerToLaterRequest(
      double known, Double stated, long sentAfterMs, Double expected) {
    table.observe(NOW_MS, target(1), StatedRate.of(known), NOW_MS - 10);

    table.observe(NOW_MS + 200, target(1), rate(stated), NOW_MS + sentAfterMs);

    assertThat(findRate(1)).isEqualTo(Optional.ofNullable(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "3, 2, 10, 2",
    "3, 2, -10, 3",
    "3, 5, 10, 3",
    "3, 5, 300, 5",
    "3, , 10, 3",
    "3, , 300, ",
  })
  void loosensLimitOnlyByReportThatIsCertainlyNewer(
      double known, Double told, long newerByMs, Double expected) {
    table.observe(NOW_MS, target(1), StatedRate.of(known), NOW_MS - 10);

    table.merge(limit(1, told, NOW_MS + newerByMs));

    assertThat(findRate(1)).isEqualTo(Optional.ofNullable(expected));
  }

  @Test
  void ignoresUnreadableRate() {
    table.observe(NOW_MS, target(1), StatedRate.of(3), NOW_MS - 10);

    assertThat(table.observe(NOW_MS + 500, target(1), StatedRate.UNREADABLE, NOW_MS + 400))
        .isEmpty();
    assertThat(findRate(1)).contains(3.0);
  }

  @Test
  void doesNotRestoreEndedLimitByOutdatedReport() {
    table.observe(NOW_MS, target(1), StatedRate.of(3), NOW_MS - 10);
    table.observe(NOW_MS + 500, target(1), StatedRate.NONE, NOW_MS + 400);

    table.merge(limit(1, 3.0, NOW_MS + 300));

    assertThat(findRate(1)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, 2, false", "2, 1, true"})
  void appliesLimitToIncarnationThatStatedIt(long stating, long asked, boolean olderStatement) {
    table.observe(NOW_MS, target(stating), StatedRate.of(3), NOW_MS - 10);

    assertThat(table.findInForce(target(asked))).isEmpty();

    table.observe(NOW_MS + 100, target(asked), StatedRate.of(7), NOW_MS + 50);
    assertThat(findRate(olderStatement ? stating : asked)).contains(olderStatement ? 3.0 : 7.0);
  }

  @Test
  void forgetsEndedLimit() {
    table.observe(NOW_MS, target(1), StatedRate.of(3), NOW_MS - 10);
    table.observe(NOW_MS + 500, target(1), StatedRate.NONE, NOW_MS + 400);

    table.retain(NOW_MS + 500 + RateLimitTable.ENDED_RETENTION_MS, id -> true);
    assertThat(table.contains("t")).isTrue();
    table.retain(NOW_MS + 501 + RateLimitTable.ENDED_RETENTION_MS, id -> true);
    assertThat(table.contains("t")).isFalse();
  }

  private Optional<Double> findRate(long incarnation) {
    return table.findInForce(target(incarnation)).map(found -> found.perSecond().getAsDouble());
  }

  private static StatedRate rate(Double perSecond) {
    return perSecond == null ? StatedRate.NONE : StatedRate.of(perSecond);
  }

  private static TargetRateLimit limit(long incarnation, Double perSecond, long observedAtMs) {
    OptionalDouble rate = perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    return new TargetRateLimit("t", incarnation, rate, observedAtMs);
  }

  private static RoutedTarget target(long incarnation) {
    return new RoutedTarget("t", incarnation, "desk", "10.0.0.1:80", "z0", 6, false);
  }
}
