package org.sequoiareach.load.check;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the ways in which the system can break a promise to a caller. */
public enum FaultKind {
  /** A token of another request's answer was delivered. */
  CROSSED_ANSWER,
  /** A token was delivered again. */
  REPEATED_TOKEN,
  /** A token was left out. */
  MISSING_TOKEN,
  /** Tokens of two generations were joined into one answer. */
  SPLICED_GENERATIONS,
  /** An answer was declared finished but is not whole. */
  INCOMPLETE_ANSWER,
  /** Something came after the end of the answer. */
  AFTER_END,
  /** The answer cannot be read. */
  MALFORMED,
  /** The verdict was not-run, but a target ran the request. */
  NOT_RUN_BUT_RAN,
  /** A call that may not be repeated ran more than once. */
  RAN_MORE_THAN_ONCE,
  /** The request finished, but no target ran it. */
  FINISHED_BUT_NEVER_RAN;

  /**
   * Returns the label used in reports.
   *
   * @return the label, such as {@code crossed-answer}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
