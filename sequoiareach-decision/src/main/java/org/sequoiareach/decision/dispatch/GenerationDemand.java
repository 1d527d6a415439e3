package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Says what a generation needs of an engine.
 *
 * @param model the model
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens it may generate
 * @param expectedOutputTokens the caller's estimate of the tokens it will generate
 * @param parts the parts of the prompt in order, the request's own last
 */
public record GenerationDemand(
    String model,
    long promptTokens,
    long maxOutputTokens,
    OptionalLong expectedOutputTokens,
    List<PromptPart> parts) {

  /** Checks and copies the parts. */
  public GenerationDemand {
    Check.inRange(promptTokens, 0, Integer.MAX_VALUE, "promptTokens");
    Check.inRange(maxOutputTokens, 0, Integer.MAX_VALUE, "maxOutputTokens");
    Check.notNull(expectedOutputTokens, "expectedOutputTokens");
    parts = List.copyOf(parts);
  }

  /**
   * Returns the tokens that are expected to be generated.
   *
   * @return the caller's estimate, or half of the longest output where none is given
   */
  public long likelyOutputTokens() {
    return Math.min(expectedOutputTokens.orElse(maxOutputTokens / 2), maxOutputTokens);
  }

  /**
   * Returns the tokens that the generation is expected to hold at its end.
   *
   * @return the prompt and the likely output
   */
  public long expectedMemoryTokens() {
    return promptTokens + likelyOutputTokens();
  }
}
