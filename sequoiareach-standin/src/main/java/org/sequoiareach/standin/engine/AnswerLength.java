package org.sequoiareach.standin.engine;

import java.util.SplittableRandom;

/** Holds the length of an answer, and whether a limit cut it. */
record AnswerLength(int tokens, boolean cutByLimit) {

  private static final long HASH_FACTOR = 1_099_511_628_211L;

  /** Resolves the length that a request gets from an engine with room for some context tokens. */
  static AnswerLength resolve(
      CompletionRequest request, AnswerSettings settings, long contextLimit) {
    int wanted = request.answerTokens().orElseGet(() -> draw(request.prompt(), settings));
    long room = contextLimit - request.promptTokens();
    long limit = Math.min(room, request.maxTokens().orElse(Integer.MAX_VALUE));
    int tokens = (int) Math.max(1, Math.min(wanted, limit));
    return new AnswerLength(tokens, tokens < wanted);
  }

  private static int draw(String prompt, AnswerSettings settings) {
    long hash = settings.seed();
    for (int i = 0; i < prompt.length(); i++) {
      hash = (hash ^ prompt.charAt(i)) * HASH_FACTOR;
    }
    double uniform = new SplittableRandom(hash).nextDouble();
    double drawn = settings.medianTokens() * Math.pow(2 * (1 - uniform), -1 / settings.tailIndex());
    return (int) Math.max(1, Math.min(settings.maxTokens(), Math.round(drawn)));
  }
}
