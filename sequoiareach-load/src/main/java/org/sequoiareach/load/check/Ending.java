package org.sequoiareach.load.check;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How a request ended from the perspective of its client. */
public enum Ending {
  /** The complete answer was received. */
  FINISHED,
  /** The system rejected the request before running it. */
  REFUSED,
  /** The request ended in any other way. */
  FAILED;

  /**
   * Returns the label used in reports.
   *
   * @return the label, such as {@code finished}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
