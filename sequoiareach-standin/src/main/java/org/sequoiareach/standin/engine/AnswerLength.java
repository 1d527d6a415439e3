package org.sequoiareach.standin.engine;

import java.util.SplittableRandom;

/**
 * Holds the output length of a generation.
 *
 * @param tokens the number of output tokens
 * @param cutByLimit whether a token or context limit shortened the output
 */
record AnswerLength(int tokens, boolean cutByLimit) {

  private static final long FNV_1A_PRIME = 1_099_511_628_211L;

  /**
   * Computes the output length of a request on an engine with the given context limit in tokens.
   */
  static AnswerLength resolve(
      GenerationRequest request, AnswerSettings settings, long contextLimit) {
    int requested = request.answerTokens().orElseGet(() -> sample(request.prompt(), settings));
    long available = contextLimit - request.promptTokens();
    long limit = Math.min(available, request.maxTokens().orElse(Integer.MAX_VALUE));
    int tokens = (int) Math.max(1, Math.min(requested, limit));
    return new AnswerLength(tokens, tokens < requested);
  }

  private static int sample(String prompt, AnswerSettings settings) {
    long hash = settings.seed();
    for (int i = 0; i < prompt.length(); i++) {
      hash = (hash ^ prompt.charAt(i)) * FNV_1A_PRIME;
    }
    double uniform = new SplittableRandom(hash).nextDouble();
    double length =
        settings.medianTokens() * Math.pow(2 * (1 - uniform), -1 / settings.tailIndex());
    return (int) Math.max(1, Math.min(settings.maxTokens(), Math.round(length)));
  }
}
