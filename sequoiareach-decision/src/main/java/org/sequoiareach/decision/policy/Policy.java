package org.sequoiareach.decision.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.stream.Collectors;

/** Names the policies that settings can choose. */
public enum Policy {
  /** Targets in turn, and no admission control. */
  ROUND_ROBIN("round-robin"),
  /** The target with the fewest own attempts, and no admission control. */
  LEAST_OUTSTANDING("least-outstanding"),
  /** Two choices by load hint, and memory reserved for the longest answer allowed. */
  MAX_LENGTH_RESERVATION("max-length-reservation"),
  /** Two choices by load hint, and memory predicted from the lengths of earlier answers. */
  EXPECTED_MEMORY("expected-memory");

  private final String label;

  Policy(String label) {
    this.label = label;
  }

  /**
   * Returns the name used in settings.
   *
   * @return the label, such as {@code round-robin}
   */
  @JsonValue
  public String label() {
    return label;
  }

  /**
   * Resolves a name from settings.
   *
   * @param label the name
   * @return the policy
   * @throws IllegalArgumentException if no policy has this name
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
