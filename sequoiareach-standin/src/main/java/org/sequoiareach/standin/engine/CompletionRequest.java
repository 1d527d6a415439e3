package org.sequoiareach.standin.engine;

import java.util.OptionalInt;
import org.sequoiareach.model.Check;

/**
 * Is a request for a generation, as the engine understands it.
 *
 * @param id the identity of the generation
 * @param model the model
 * @param prompt the text of all messages
 * @param maxTokens the most tokens of the answer
 * @param priority the priority; a lower number is served first
 * @param marker the text that its tokens carry
 * @param answerTokens the length of the whole answer, where the request sets it
 */
record CompletionRequest(
    String id,
    String model,
    String prompt,
    OptionalInt maxTokens,
    int priority,
    String marker,
    OptionalInt answerTokens) {

  private static final int CHARS_PER_TOKEN = 4;

  CompletionRequest {
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
