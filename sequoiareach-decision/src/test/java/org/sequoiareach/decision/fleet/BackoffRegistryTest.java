package org.sequoiareach.decision.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackoffRegistryTest {

  private static final String TARGET = "i-1";

  private final BackoffRegistry registry = new BackoffRegistry();

  @ParameterizedTest
  @CsvSource({"500, true", "999, true", "1000, false", "1500, false"})
  void isInForceUntilItsEnd(long nowMs, boolean inForce) {
    registry.record(100, TARGET, 1_000);

    assertThat(registry.isInForce(nowMs, TARGET)).isEqualTo(inForce);
    assertThat(registry.untilMs(nowMs, TARGET)).isEqualTo(Math.max(nowMs, 1_000));
    assertThat(registry.isInForce(nowMs, "i-2")).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"600, false, 1000", "1000, false, 1000", "1400, true, 1400"})
  void isNeverShortened(long secondEndMs, boolean extended, long endMs) {
    registry.record(100, TARGET, 1_000);

    assertThat(registry.record(200, TARGET, secondEndMs)).isEqualTo(extended);
    assertThat(registry.untilMs(200, TARGET)).isEqualTo(endMs);
  }

  @Test
  void grantsTwoExceptionsUntilItHasEnded() {
    registry.record(100, TARGET, 1_000);

    assertThat(registry.tryAcquire(200, TARGET)).isTrue();
    registry.record(300, TARGET, 2_000);
    assertThat(registry.tryAcquire(300, TARGET)).isTrue();
    assertThat(registry.tryAcquire(1_999, TARGET)).isFalse();
    assertThat(registry.tryAcquire(2_000, TARGET)).isTrue();
    registry.record(2_100, TARGET, 3_000);
    assertThat(registry.tryAcquire(2_200, TARGET)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"true, 500, true", "false, 500, false", "true, 1000, false"})
  void keepsOnlyBackoffsInForceOfKnownTargets(boolean known, long nowMs, boolean kept) {
    registry.record(100, TARGET, 1_000);

    registry.retain(nowMs, id -> known);

    assertThat(registry.isInForce(500, TARGET)).isEqualTo(kept);
  }
}
