package org.sequoiareach.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that the steady-state traffic per daemon stays bounded as the number of daemons grows.
 */
class MembershipTrafficTest {

  private static final double MAX_BYTES_PER_SECOND = 3_000;

  @ParameterizedTest
  @ValueSource(ints = {6, 200})
  void steadyStateTrafficStaysBelowLimit(int daemons) {
    double bytesPerSecond = new MembershipMeasurement(daemons, 1).steadyBytesPerSecond();
    assertThat(bytesPerSecond).isLessThan(MAX_BYTES_PER_SECOND);
  }
}
