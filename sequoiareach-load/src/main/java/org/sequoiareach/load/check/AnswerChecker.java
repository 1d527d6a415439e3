package org.sequoiareach.load.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Checks an answer incrementally: every token arrives exactly once and in order, from a single
 * generation, and belongs to the request.
 *
 * <p>A token has the form {@code marker:n} followed by a space, with n counting from 1. Not
 * thread-safe.
 */
public final class AnswerChecker {

  private static final int MAX_FAULTS = 5;

  private final String marker;
  private final int expectedTokens;
  private final List<Fault> faults = new ArrayList<>();

  private Optional<String> completionId = Optional.empty();
  private int tokens;
  private boolean finished;

  /**
   * Creates a checker.
   *
   * @param marker the marker of the request
   * @param expectedTokens the number of tokens of a complete answer
   */
  public AnswerChecker(String marker, int expectedTokens) {
    this.marker = Check.hasText(marker, "marker");
    this.expectedTokens = expectedTokens;
  }

  /**
   * Processes a chunk of the answer, or the complete answer.
   *
   * @param id the generation id in the chunk; empty if absent
   * @param text the text of the chunk
   * @return the number of tokens in the chunk
   */
  public int onText(String id, String text) {
    checkGeneration(id);
    if (text.isEmpty()) {
      return 0;
    }
    if (finished) {
      add(FaultKind.AFTER_END, "text after the end: '" + truncate(text) + "'");
    }
    int found = 0;
    for (String token : text.trim().split(" +")) {
      checkToken(token);
      found++;
    }
    return found;
  }

  /** Processes the end of the answer. */
  public void onFinish() {
    if (finished) {
      add(FaultKind.AFTER_END, "the answer ended twice");
      return;
    }
    finished = true;
    if (tokens != expectedTokens) {
      add(
          FaultKind.INCOMPLETE_ANSWER,
          "ended after token " + tokens + ", expected " + expectedTokens + " tokens");
    }
  }

  /**
   * Records content that cannot be parsed.
   *
   * @param detail the content or a description of it
   */
  public void onMalformed(String detail) {
    add(FaultKind.MALFORMED, truncate(detail));
  }

  /**
   * Returns the id of the generation.
   *
   * @return the first generation id received; empty before that
   */
  public Optional<String> completionId() {
    return completionId;
  }

  /**
   * Returns the progress of the answer.
   *
   * @return the number of the last token received in order
   */
  public int tokens() {
    return tokens;
  }

  /**
   * Returns whether the end of the answer was received.
   *
   * @return true after the end
   */
  public boolean finished() {
    return finished;
  }

  /**
   * Returns the faults found.
   *
   * @return the first faults, at most five
   */
  public List<Fault> faults() {
    return List.copyOf(faults);
  }

  private void checkGeneration(String id) {
    if (id.isEmpty()) {
      return;
    }
    if (completionId.isEmpty()) {
      completionId = Optional.of(id);
      return;
    }
    if (!completionId.get().equals(id)) {
      add(
          FaultKind.SPLICED_GENERATIONS,
          "generation " + id + " after " + completionId.get() + " at token " + (tokens + 1));
    }
  }

  private void checkToken(String token) {
    int colon = token.lastIndexOf(':');
    int number = colon < 0 ? -1 : parseNumber(token.substring(colon + 1));
    if (number < 1) {
      add(FaultKind.MALFORMED, "not a token: '" + truncate(token) + "'");
      return;
    }
    if (!token.substring(0, colon).equals(marker)) {
      add(FaultKind.CROSSED_ANSWER, "token '" + truncate(token) + "' belongs to another answer");
      return;
    }
    if (number <= tokens) {
      add(FaultKind.REPEATED_TOKEN, "token " + number + " after " + tokens);
      return;
    }
    if (number > tokens + 1) {
      add(FaultKind.MISSING_TOKEN, "token " + number + " after " + tokens);
    }
    tokens = number;
  }

  private static int parseNumber(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void add(FaultKind kind, String detail) {
    if (faults.size() < MAX_FAULTS) {
      faults.add(new Fault(kind, detail));
    }
  }

  private static String truncate(String text) {
    return text.length() <= 60 ? text : text.substring(0, 60) + "…";
  }
}
