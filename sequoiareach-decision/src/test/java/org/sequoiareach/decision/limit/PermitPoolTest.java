package org.sequoiareach.decision.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PermitPoolTest {

  private static final long NOW_MS = 50_000;

  private final PermitPool pool = new PermitPool(NOW_MS);

  @ParameterizedTest
  @CsvSource({"4, 4, 10", "2, 4, 5", "0, 4, 0", "5, 4, 10"})
  void issuesPermitsAtSumOfSharesThatItHolds(int lenders, int daemons, double expected) {
    for (int i = 0; i < lenders; i++) {
      pool.lend(NOW_MS, "d" + i, daemons);
    }

    assertThat(pool.permitsPerSecond(NOW_MS, 10)).isEqualTo(expected);
  }

  @Test
  void stopsCountingShareWhoseLeaseHasExpired() {
    pool.lend(NOW_MS, "d1", 2);
    pool.lend(NOW_MS + 500, "d2", 2);

    assertThat(pool.permitsPerSecond(NOW_MS + PermitPool.LEASE_MS, 10)).isEqualTo(5);
    assertThat(pool.permitsPerSecond(NOW_MS + 500 + PermitPool.LEASE_MS, 10)).isZero();
  }

  @Test
  void spacesPermitsEvenlyAndPromisesThemUpToLatestStart() {
    pool.lend(NOW_MS, "d1", 1);

    assertThat(pool.reserve(NOW_MS, NOW_MS + 250, 10))
        .isEqualTo(new PermitDecision(true, NOW_MS + 100));
    assertThat(pool.reserve(NOW_MS, NOW_MS + 250, 10))
        .isEqualTo(new PermitDecision(true, NOW_MS + 200));
    assertThat(pool.reserve(NOW_MS, NOW_MS + 250, 10))
        .isEqualTo(new PermitDecision(false, NOW_MS + 300));
  }

  @Test
  void sendsDeniedCallersBackOneAfterAnother() {
    pool.lend(NOW_MS, "d1", 1);
    pool.reserve(NOW_MS, NOW_MS + 100, 10);

    assertThat(pool.reserve(NOW_MS, NOW_MS, 10).atMs()).isEqualTo(NOW_MS + 200);
    assertThat(pool.reserve(NOW_MS, NOW_MS, 10).atMs()).isEqualTo(NOW_MS + 300);
    assertThat(pool.reserve(NOW_MS, NOW_MS, 10).atMs()).isEqualTo(NOW_MS + 400);
  }

  @Test
  void makesUpForRequestsSentWithoutPermit() {
    pool.lend(NOW_MS, "d1", 1);
    pool.spend(NOW_MS, 10);
    pool.spend(NOW_MS, 10);

    assertThat(pool.reserve(NOW_MS, NOW_MS + 1_000, 10).atMs()).isEqualTo(NOW_MS + 300);
  }

  @Test
  void asksTargetThatAcceptsNothingNowAndThen() {
    pool.lend(NOW_MS, "d1", 1);

    assertThat(pool.permitsPerSecond(NOW_MS, 0)).isEqualTo(PermitPool.MIN_PER_SECOND);
  }

  @Test
  void deniesPermitsWithoutAnyShare() {
    assertThat(pool.reserve(NOW_MS, NOW_MS + 5_000, 10))
        .isEqualTo(new PermitDecision(false, NOW_MS + PermitPool.LEASE_MS));
  }
}
