package org.sequoiareach.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.front.ClientLimits;

/** Tests that settings are read field by field and that errors name the field and its value. */
class GatewaySettingsReaderTest {

  private static final String VALID =
      "{\"name\":\"edge-1\",\"zone\":\"z1\",\"callerAddress\":\"10.0.0.1:80\","
          + "\"readyAddress\":\"10.0.0.1:81\",\"peerAddress\":\"10.0.0.1:82\","
          + "\"metricsAddress\":\"10.0.0.1:83\",\"seedAddresses\":[\"10.0.0.2:82\"],"
          + "\"storeAddress\":\"10.0.0.9:84\",\"gracePeriodSeconds\":8,\"retryRatio\":0.2,"
          + "\"retryWindowSeconds\":10,\"retryExtra\":54,\"sheetBoundMs\":2000,"
          + "\"leavingBoundMs\":4000}";

  @Test
  void readsAllFields() {
    assertThat(GatewaySettingsReader.parse(VALID))
        .isEqualTo(
            new GatewaySettings(
                "edge-1",
                "z1",
                "10.0.0.1:80",
                "10.0.0.1:81",
                "10.0.0.1:82",
                "10.0.0.1:83",
                List.of("10.0.0.2:82"),
                "10.0.0.9:84",
                8,
                0.2,
                10,
                54,
                2_000,
                4_000));
  }

  /** Guards against hedged requests that nobody asked for. */
  @Test
  void readsHedgeRatioThatMayBeAbsent() {
    assertThat(GatewaySettingsReader.parse(VALID).hedgeRatio()).isZero();
    GatewaySettings settings =
        GatewaySettingsReader.parse(VALID.replace("{", "{\"hedgeRatio\":0.05,"));

    assertThat(settings.hedgeRatio()).isEqualTo(0.05);
    assertThat(settings.toDispatchSettings(1).hedgeRatio()).isEqualTo(0.05);
    assertThat(settings.canReloadTo(GatewaySettingsReader.parse(VALID))).isTrue();
  }

  /** Guards against late binding in deployments whose settings do not ask for it. */
  @Test
  void readsLateBindingThatMayBeAbsent() {
    assertThat(GatewaySettingsReader.parse(VALID).lateBinding()).isFalse();
    GatewaySettings settings =
        GatewaySettingsReader.parse(VALID.replace("{", "{\"lateBinding\":true,"));

    assertThat(settings.lateBinding()).isTrue();
    assertThat(settings.canReloadTo(GatewaySettingsReader.parse(VALID))).isFalse();
  }

  /** Guards against limits that are read but not applied. */
  @Test
  void readsLimitsForClients() {
    String limits = ",\"maxCallerConnections\":7,\"maxStatusConnections\":8,\"maxHeaderLines\":9}";

    GatewaySettings settings =
        GatewaySettingsReader.parse(VALID.substring(0, VALID.length() - 1) + limits);

    assertThat(settings.clientLimits()).isEqualTo(new ClientLimits(7, 8, 9));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"retryRatio\":0.2 | \"retryRatio\":\"much\" | 'retryRatio' must be a number",
        "\"name\" | \"hedgeRatio\":1.5,\"name\" | 'hedgeRatio' must be between 0 and 1 but is 1.5",
        "\"name\" | \"hedgeRatio\":-1,\"name\" | 'hedgeRatio' must be between 0 and 1 but is -1.0",
        "\"name\" | \"hedgeRatio\":\"5%\",\"name\" | 'hedgeRatio' must be a number but is",
        "\"zone\":\"z1\" | \"zone\":7 | 'zone' must be a text but is 7",
        "\"zone\":\"z1\" | \"other\":7 | 'zone'",
        "[\"10.0.0.2:82\"] | [82] | 'seedAddresses' must be a list of texts but is [82]",
        "[\"10.0.0.2:82\"] | [\"host\"] | 'seedAddresses' must be an IPv4 address and a port",
        "10.0.0.9:84 | store | 'storeAddress' must be an IPv4 address and a port but is 'store'",
        "\"zone\":\"z1\" | \"zone\":\"z1\",\"maxHeaderLines\":0 | 'maxHeaderLines'",
        "\"zone\":\"z1\" | \"zone\":\"z1\",\"maxCallerConnections\":1.5 |"
            + " 'maxCallerConnections' must be an integer but is 1.5",
        "\"zone\":\"z1\" | \"zone\":\"z1\",\"maxStatusConnections\":\"x\" |"
            + " 'maxStatusConnections' must be an integer but is \"x\"",
        "{\"name\" | [\"name\" | The settings are not valid JSON"
      })
  void namesInvalidFieldAndValue(String valid, String invalid, String message) {
    assertThatThrownBy(() -> GatewaySettingsReader.parse(VALID.replace(valid, invalid)))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining(message);
  }
}
