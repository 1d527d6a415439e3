package org.sequoiareach.load.run;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.trace.Arrival;

/**
 * Is the JSON body of a completion request.
 *
 * @param model the model asked for
 * @param messages the prompt
 * @param maxTokens the greatest answer allowed
 * @param stream whether the answer is asked for token by token
 * @param metadata what only the engine stand-in and the checks use
 */
record CompletionBody(
    String model,
    List<Message> messages,
    @JsonProperty("max_tokens") int maxTokens,
    boolean stream,
    Metadata metadata) {

  /** Three letters and a space: about one token by any of the usual estimates. */
  private static final int WORD_LETTERS = 3;

  private static final int ALPHABET = 26;

  /**
   * Is one message of the prompt.
   *
   * @param role who says it
   * @param content its text
   */
  record Message(String role, String content) {}

  /**
   * Is the metadata of a request; all values are texts.
   *
   * @param answerTokens the length that the engine stand-in gives the answer
   * @param marker the marker that the engine stand-in puts into every token
   * @param callClass the kind of call
   */
  record Metadata(
      @JsonProperty("answer_tokens") String answerTokens,
      @JsonProperty("marker") String marker,
      @JsonProperty("call_class") String callClass) {}

  static CompletionBody create(String marker, Arrival arrival, GenerationClass generation) {
    int shared = Math.min(generation.sharedPromptTokens(), arrival.promptTokens());
    String organisation = arrival.organisation().name();
    List<Message> messages = new ArrayList<>();
    if (shared > 0) {
      long seed = (generation.name() + "/" + organisation).hashCode();
      messages.add(new Message("system", words(shared, seed)));
    }
    messages.add(new Message("user", words(arrival.promptTokens() - shared, marker.hashCode())));
    return new CompletionBody(
        generation.model(),
        messages,
        generation.maxTokens(),
        generation.stream(),
        new Metadata(Integer.toString(arrival.answerTokens()), marker, generation.callClass()));
  }

  private static String words(int count, long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      for (int letter = 0; letter < WORD_LETTERS; letter++) {
        text.append((char) ('a' + random.nextInt(ALPHABET)));
      }
      text.append(' ');
    }
    return text.toString();
  }
}
