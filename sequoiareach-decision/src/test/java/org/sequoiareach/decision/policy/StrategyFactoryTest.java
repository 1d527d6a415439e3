package org.sequoiareach.decision.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.decision.placement.AdmissionSettings;
import org.sequoiareach.decision.placement.PassThroughAdmission;
import org.sequoiareach.model.request.RequestKind;

class StrategyFactoryTest {

  @ParameterizedTest
  @EnumSource
  void createsStrategiesForEveryPolicy(Policy policy) {
    StrategyFactory factory =
        new StrategyFactory(Policy.fromLabel(policy.label()), AdmissionSettings.defaults());

    assertThat(factory.createRouting()).isNotNull();
    assertThat(factory.createAdmission("t", RequestKind.GENERATION).hint(0).targetId())
        .isEqualTo("t");
    assertThat(factory.createAdmission("t", RequestKind.SERVICE_CALL))
        .isInstanceOf(PassThroughAdmission.class);
  }

  @Test
  void rejectsUnknownLabelAndListsKnownOnes() {
    assertThatThrownBy(() -> Policy.fromLabel("best"))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("expected-memory");
  }
}
