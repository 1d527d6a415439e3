package org.sequoiareach.load.check;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names how a request ended for its caller. */
public enum Ending {
  /** The whole answer was received. */
  FINISHED,
  /** The system declined the request before it ran. */
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
