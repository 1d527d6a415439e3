package org.sequoiareach.decision.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Routing and admission policies that can be selected in the settings. */
public enum Policy {
  /** Round-robin routing without admission control. */
  ROUND_ROBIN("round-robin"),
  /** Least-outstanding routing without admission control. */
  LEAST_OUTSTANDING("least-outstanding"),
  /** Power-of-two-choices routing; admission reserves memory for the maximum answer length. */
  MAX_LENGTH_RESERVATION("max-length-reservation"),
  /**
   * Power-of-two-choices routing; admission predicts memory from the lengths of earlier answers.
   */
  EXPECTED_MEMORY("expected-memory");

  private final String label;

  Policy(String label) {
    this.label = label;
  }

  /**
   * Returns the name of the policy in settings.
   *
   * @return the label, such as {@code round-robin}
   */
  @JsonValue
  public String label() {
    return label;
  }

  /**
   * Returns the policy with the given name in settings.
   *
   * @param label the name
   * @return the policy
   * @throws IllegalArgumentException if there is no such policy
   */
  @JsonCreator
  public static Policy fromLabel(String label) {
    for (Policy policy : values()) {
      if (policy.label.equals(label)) {
        return policy;
      }
    }
    String known = Arrays.stream(values()).map(Policy::label).collect(Collectors.joining(", "));
    throw new IllegalArgumentException("Policy '" + label + "' is not one of " + known + ".");
  }
}
