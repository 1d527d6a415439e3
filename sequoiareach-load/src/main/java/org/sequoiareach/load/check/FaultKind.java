package org.sequoiareach.load.check;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Ways in which the system can violate its guarantees to clients. */
public enum FaultKind {
  /** A token of another request's answer was delivered. */
  CROSSED_ANSWER,
  /** A token was delivered more than once. */
  REPEATED_TOKEN,
  /** A token was skipped. */
  MISSING_TOKEN,
  /** The answer mixes tokens of two generations. */
  SPLICED_GENERATIONS,
  /** The answer ended with the wrong number of tokens. */
  INCOMPLETE_ANSWER,
  /** Content or another end followed the end of the answer. */
  AFTER_END,
  /** The answer cannot be parsed. */
  MALFORMED,
  /** The verdict was not-run, but a target ran the request. */
  NOT_RUN_BUT_RAN,
  /** A call that must not be repeated ran more than once. */
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
