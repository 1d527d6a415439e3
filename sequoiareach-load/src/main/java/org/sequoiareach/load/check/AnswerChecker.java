package org.sequoiareach.load.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.model.Check;

/**
 * Checks one answer as it comes: every token once, in order, from one generation and of the request
 * itself.
 *
 * <p>Tokens are texts of the form {@code marker:n} and a space, with n from 1. Not thread-safe.
 */
public final class AnswerChecker {

  private static final int MOST_FAULTS = 5;

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
   * @param expectedTokens the length of a whole answer
   */
  public AnswerChecker(String marker, int expectedTokens) {
    this.marker = Check.hasText(marker, "marker");
    this.expectedTokens = expectedTokens;
  }

  /**
   * Takes one chunk of the answer, or the whole of it.
   *
   * @param id the identity of the generation that the chunk names; empty where it names none
   * @param text the text of the chunk
   * @return the number of tokens in the chunk
   */
  public int onText(String id, String text) {
    checkGeneration(id);
    if (text.isEmpty()) {
      return 0;
    }
    if (finished) {
      add(FaultKind.AFTER_END, "text after the end: '" + shorten(text) + "'");
    }
    int found = 0;
    for (String token : text.trim().split(" +")) {
      checkToken(token);
      found++;
    }
    return found;
  }

  /** Takes the end of the answer. */
  public void onFinish() {
    if (finished) {
      add(FaultKind.AFTER_END, "the answer ended twice");
      return;
    }
    finished = true;
    if (tokens != expectedTokens) {
      add(
          FaultKind.INCOMPLETE_ANSWER,
          "ended after token " + tokens + " where " + expectedTokens + " were due");
    }
  }

  /**
   * Takes something that cannot be read.
   *
   * @param detail what was seen
   */
  public void onMalformed(String detail) {
    add(FaultKind.MALFORMED, shorten(detail));
  }

  /**
   * Returns the identity of the generation.
   *
   * @return the first identity named; empty before it
   */
  public Optional<String> completionId() {
    return completionId;
  }

  /**
   * Returns how far the answer has come.
   *
   * @return the number of the last token in order
   */
  public int tokens() {
    return tokens;
  }

  /**
   * Tells whether the end of the answer was seen.
   *
   * @return true once it has ended
   */
  public boolean finished() {
    return finished;
  }

  /**
   * Returns what was wrong.
   *
   * @return the first few faults
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
      add(FaultKind.MALFORMED, "not a token: '" + shorten(token) + "'");
      return;
    }
    if (!token.substring(0, colon).equals(marker)) {
      add(FaultKind.CROSSED_ANSWER, "token '" + shorten(token) + "' is of another answer");
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
    if (faults.size() < MOST_FAULTS) {
      faults.add(new Fault(kind, detail));
    }
  }

  private static String shorten(String text) {
    return text.length() <= 60 ? text : text.substring(0, 60) + "…";
  }
}
