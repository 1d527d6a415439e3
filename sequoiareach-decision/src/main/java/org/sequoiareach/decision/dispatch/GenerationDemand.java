package org.sequoiareach.decision.dispatch;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * The resources that a generation needs of an engine.
 *
 * @param model the model
 * @param promptTokens the length of the prompt, in tokens
 * @param maxOutputTokens the maximum length of the output, in tokens
 * @param expectedOutputTokens the caller's estimate of the output length, in tokens
 * @param parts the parts of the prompt in order, ending with the part specific to the request
 */
public record GenerationDemand(
    String model,
    long promptTokens,
    long maxOutputTokens,
    OptionalLong expectedOutputTokens,
    List<PromptPart> parts) {

  /** Validates the components and copies the list of parts. */
  public GenerationDemand {
    Check.inRange(promptTokens, 0, Integer.MAX_VALUE, "promptTokens");
    Check.inRange(maxOutputTokens, 0, Integer.MAX_VALUE, "maxOutputTokens");
    Check.notNull(expectedOutputTokens, "expectedOutputTokens");
    parts = List.copyOf(parts);
  }

  /**
   * Returns the estimated output length.
   *
   * @return the caller's estimate, or half of the maximum output if there is none, in tokens
   */
  public long estimatedOutputTokens() {
    return Math.min(expectedOutputTokens.orElse(maxOutputTokens / 2), maxOutputTokens);
  }

  /**
   * Returns the memory that the generation is expected to occupy at its end.
   *
   * @return the sum of the prompt and the estimated output, in tokens
   */
  public long expectedMemoryTokens() {
    return promptTokens + estimatedOutputTokens();
  }

  /**
   * Returns the identifiers of the parts that other requests may share.
   *
   * @return the identifiers of all parts but the last, in order
   */
  public List<String> sharedPartIds() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
  }
}
