package org.sequoiareach.model.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells whether a request may have run on a target.
 *
 * <p>{@link #NOT_RUN} is a guarantee: it is used only if no target can have started the request.
 */
public enum Verdict {
  /** No target has started the request, and none will start it. */
  NOT_RUN("not-run"),
  /** A target may have run the request, partially or completely. */
  MAY_HAVE_RUN("may-have-run"),
  /** A target ran the request and its answer was received. */
  RAN("ran");

  private final String label;

  Verdict(String label) {
    this.label = label;
  }

  /**
   * Returns the label used in headers, logs and JSON.
   *
   * @return the label, such as {@code not-run}
   */
  @JsonValue
  public String label() {
    return label;
  }

  /**
   * Resolves a label.
   *
   * @param label the label
   * @return the verdict
   * @throws IllegalArgumentException if no verdict has this label
   */
  @JsonCreator
  public static Verdict fromLabel(String label) {
    for (Verdict verdict : values()) {
      if (verdict.label.equals(label)) {
        return verdict;
      }
    }
    throw new IllegalArgumentException("Unknown verdict label '" + label + "'.");
  }

  /**
   * Combines the verdicts of two attempts at one request. The greater one in the order of
   * declaration takes precedence, so that the result is {@link #NOT_RUN} only if both verdicts are.
   *
   * @param other the verdict of the other attempt
   * @return the combined verdict
   */
  public Verdict and(Verdict other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
