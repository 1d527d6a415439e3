package org.sequoiareach.decision.budget;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.sequoiareach.model.Check;

/**
 * Amount of prompt tokens and completion tokens, which are planned and priced separately.
 *
 * @param prompt the number of prompt tokens
 * @param completion the number of generated tokens
 */
public record TokenAmount(long prompt, long completion) {

  /** No tokens. */
  public static final TokenAmount NONE = new TokenAmount(0, 0);

  /** Validates that neither component is negative. */
  public TokenAmount {
    Check.inRange(prompt, 0, Long.MAX_VALUE, "prompt");
    Check.inRange(completion, 0, Long.MAX_VALUE, "completion");
  }

  /**
   * Adds an amount.
   *
   * @param other the amount to add
   * @return the sum
   */
  public TokenAmount plus(TokenAmount other) {
    return new TokenAmount(prompt + other.prompt, completion + other.completion);
  }

  /**
   * Subtracts an amount; neither component falls below 0.
   *
   * @param other the amount to subtract
   * @return the difference
   */
  public TokenAmount minus(TokenAmount other) {
    return new TokenAmount(
        Math.max(0, prompt - other.prompt), Math.max(0, completion - other.completion));
  }

  /**
   * Returns whether this amount is at least another in both components.
   *
   * @param other the other amount
   * @return whether neither component of the other amount is larger
   */
  public boolean covers(TokenAmount other) {
    return other.prompt <= prompt && other.completion <= completion;
  }

  /**
   * Returns the component-wise minimum.
   *
   * @param other the other amount
   * @return the minimum
   */
  public TokenAmount min(TokenAmount other) {
    return new TokenAmount(Math.min(prompt, other.prompt), Math.min(completion, other.completion));
  }

  /**
   * Returns the component-wise maximum.
   *
   * @param other the other amount
   * @return the maximum
   */
  public TokenAmount max(TokenAmount other) {
    return new TokenAmount(Math.max(prompt, other.prompt), Math.max(completion, other.completion));
  }

  /**
   * Multiplies both components.
   *
   * @param factor the factor, not negative
   * @return the product
   */
  public TokenAmount times(long factor) {
    return new TokenAmount(prompt * factor, completion * factor);
  }

  /**
   * Divides both components.
   *
   * @param divisor the divisor, at least 1
   * @return the quotient, rounded down
   */
  public TokenAmount dividedBy(long divisor) {
    return new TokenAmount(prompt / divisor, completion / divisor);
  }

  /**
   * Returns whether the amount is zero.
   *
   * @return whether both components are 0
   */
  @JsonIgnore
  public boolean isNone() {
    return prompt == 0 && completion == 0;
  }
}
