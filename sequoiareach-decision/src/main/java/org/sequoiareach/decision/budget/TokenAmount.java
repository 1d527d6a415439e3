package org.sequoiareach.decision.budget;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.sequoiareach.model.Check;

/**
 * Holds an amount of prompt tokens and of generated tokens, which are planned and priced apart.
 *
 * @param prompt prompt tokens
 * @param completion generated tokens
 */
public record TokenAmount(long prompt, long completion) {

  /** No tokens. */
  public static final TokenAmount NONE = new TokenAmount(0, 0);

  /** Checks the parts. */
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
   * Takes an amount away; neither part falls below none.
   *
   * @param other the amount to take away
   * @return the rest
   */
  public TokenAmount minus(TokenAmount other) {
    return new TokenAmount(
        Math.max(0, prompt - other.prompt), Math.max(0, completion - other.completion));
  }

  /**
   * Tells whether this amount has room for another.
   *
   * @param other the other amount
   * @return whether both parts of the other are at most those of this one
   */
  public boolean covers(TokenAmount other) {
    return other.prompt <= prompt && other.completion <= completion;
  }

  /**
   * Returns the lesser of each part.
   *
   * @param other the other amount
   * @return the least amount
   */
  public TokenAmount min(TokenAmount other) {
    return new TokenAmount(Math.min(prompt, other.prompt), Math.min(completion, other.completion));
  }

  /**
   * Returns the greater of each part.
   *
   * @param other the other amount
   * @return the greatest amount
   */
  public TokenAmount max(TokenAmount other) {
    return new TokenAmount(Math.max(prompt, other.prompt), Math.max(completion, other.completion));
  }

  /**
   * Multiplies both parts.
   *
   * @param factor the factor, not negative
   * @return the product
   */
  public TokenAmount times(long factor) {
    return new TokenAmount(prompt * factor, completion * factor);
  }

  /**
   * Divides both parts.
   *
   * @param divisor the divisor, at least 1
   * @return the amount, rounded down
   */
  public TokenAmount dividedBy(long divisor) {
    return new TokenAmount(prompt / divisor, completion / divisor);
  }

  /**
   * Tells whether nothing is left.
   *
   * @return whether both parts are 0
   */
  @JsonIgnore
  public boolean isNone() {
    return prompt == 0 && completion == 0;
  }
}
