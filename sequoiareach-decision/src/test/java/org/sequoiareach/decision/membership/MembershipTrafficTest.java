package org.sequoiareach.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTrafficTest {

  private static final double BOUND_BYTES_PER_SECOND = 3_000;

  @ParameterizedTest
  @ValueSource(ints = {6, 200})
  void controlTrafficStaysWithinItsBound(int daemons) {
    double bytes = new MembershipMeasurement(daemons, 1).steadyBytesPerSecond();
    assertThat(bytes).isLessThan(BOUND_BYTES_PER_SECOND);
  }
}
