package org.sequoiareach.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the states of a generation. */
public enum GenerationState {
  /** Queued, and not yet admitted to the batch. */
  WAITING,
  /** In the batch. */
  RUNNING,
  /** Removed from the batch without its blocks, and waiting to be recomputed. */
  PREEMPTED,
  /** Ended with a complete output. */
  FINISHED,
  /** Ended by a cancellation. */
  CANCELLED,
  /** Ended by a fault. */
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
   * Returns whether a generation in this state generates no further tokens.
   *
   * @return whether the state is final
   */
  public boolean ended() {
    return this == FINISHED || this == CANCELLED || this == DIED;
  }
}
