package org.sequoiareach.standin.engine;

import java.util.OptionalInt;
import org.sequoiareach.model.Check;

/**
 * Describes a generation to run, as parsed from a chat completion request.
 *
 * @param id the identifier of the generation
 * @param model the name of the model
 * @param prompt the concatenated text of all messages
 * @param maxTokens the maximum number of output tokens; empty for no limit
 * @param priority the priority; lower numbers are scheduled first
 * @param marker the text that every token of the output carries
 * @param answerTokens the number of output tokens; empty to sample it
 */
record GenerationRequest(
    String id,
    String model,
    String prompt,
    OptionalInt maxTokens,
    int priority,
    String marker,
    OptionalInt answerTokens) {

  private static final int CHARS_PER_TOKEN = 4;

  GenerationRequest {
    Check.hasText(id, "id");
    Check.hasText(model, "model");
    Check.notNull(prompt, "prompt");
    Check.hasText(marker, "marker");
  }

  static int charsPerToken() {
    return CHARS_PER_TOKEN;
  }

  int promptTokens() {
    return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
  }
}
