package org.sequoiareach.decision.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ShareLeaseTest {

  private static final long NOW_MS = 50_000;

  @ParameterizedTest
  @CsvSource({
    "d1, 399, false",
    "d1, 400, true",
    "d2, 400, false",
    "d2, 1299, false",
    "d2, 1300, true",
  })
  void lendsShareToOneDaemonAtTime(String next, long afterMs, boolean lent) {
    ShareLease lease = new ShareLease();
    assertThat(lease.tryLend(NOW_MS, "d1")).isTrue();

    assertThat(lease.tryLend(NOW_MS + afterMs, next)).isEqualTo(lent);
  }
}
