package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names where a generation is in its life. */
public enum GenerationState {
  /** It waits to enter the batch for the first time. */
  WAITING,
  /** It is in the batch. */
  RUNNING,
  /** It lost its memory and waits to be computed again. */
  PREEMPTED,
  /** Its answer is complete. */
  FINISHED,
  /** It was cancelled. */
  CANCELLED,
  /** It was lost to a fault. */
  DIED;

  /**
   * Returns the label used in JSON.
   *
   * @return the label, such as {@code running}
   */
  @JsonValue
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Tells whether a generation in this state makes no further tokens.
   *
   * @return whether it has ended
   */
  public boolean ended() {
    return this == FINISHED || this == CANCELLED || this == DIED;
  }
}
