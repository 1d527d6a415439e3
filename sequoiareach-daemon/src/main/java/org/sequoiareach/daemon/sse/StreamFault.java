package org.sequoiareach.daemon.sse;

import java.util.Locale;

/** What is wrong with a block that no sound server puts into an event stream. */
public enum StreamFault {
  /** A line is no field that the protocol knows. */
  UNKNOWN_FIELD,
  /** The value of a field other than the id is not what the protocol says. */
  INVALID_VALUE,
  /** Not all callers see the same lines. */
  AMBIGUOUS_LINE_END,
  /** An event of a numbered stream has no id. */
  MISSING_ID,
  /** The id of an event of a numbered stream is not a number in decimal digits. */
  INVALID_ID,
  /** An event has several ids. */
  SEVERAL_IDS,
  /** An event has no data, so callers skip it. */
  MISSING_DATA,
  /** Events are missing before this one. */
  GAP;

  /**
   * Returns the name in logs and metrics.
   *
   * @return lower case, words separated by hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
