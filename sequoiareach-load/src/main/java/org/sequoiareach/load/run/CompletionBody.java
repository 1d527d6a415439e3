package org.sequoiareach.load.run;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.load.trace.Arrival;

/**
 * The JSON body of a chat completion request.
 *
 * @param model the requested model
 * @param messages the messages of the prompt
 * @param maxTokens the maximum answer length in tokens
 * @param stream whether to request a streamed response
 * @param metadata metadata for the system and the engine stand-in
 */
record CompletionBody(
    String model,
    List<Message> messages,
    @JsonProperty("max_tokens") int maxTokens,
    boolean stream,
    Metadata metadata) {

  /** Three letters and a space are about one token by the usual estimates. */
  private static final int LETTERS_PER_WORD = 3;

  private static final int ALPHABET_SIZE = 26;

  /**
   * A message of the prompt.
   *
   * @param role the role of the author
   * @param content the text
   */
  record Message(String role, String content) {}

  /**
   * Request metadata; all values are strings.
   *
   * @param answerTokens the answer length in tokens that the engine stand-in generates
   * @param marker the marker that the engine stand-in puts into every token
   * @param callClass the call class
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
      messages.add(new Message("system", randomWords(shared, seed)));
    }
    messages.add(
        new Message("user", randomWords(arrival.promptTokens() - shared, marker.hashCode())));
    return new CompletionBody(
        generation.model(),
        messages,
        generation.maxTokens(),
        generation.stream(),
        new Metadata(Integer.toString(arrival.answerTokens()), marker, generation.callClass()));
  }

  private static String randomWords(int count, long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      for (int letter = 0; letter < LETTERS_PER_WORD; letter++) {
        text.append((char) ('a' + random.nextInt(ALPHABET_SIZE)));
      }
      text.append(' ');
    }
    return text.toString();
  }
}
