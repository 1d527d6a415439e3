package org.sequoiareach.store.kv;

import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.Verdict;

/** Thrown when a call to the key-value service fails. Tells whether it may have taken effect. */
public final class KeyValueException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Verdict verdict;

  /**
   * Creates the exception.
   *
   * @param verdict whether the call may have taken effect
   * @param message a message that names the call and the failure
   * @param cause the cause, or null
   */
  public KeyValueException(Verdict verdict, String message, Throwable cause) {
    super(Check.hasText(message, "message"), cause);
    this.verdict = Check.notNull(verdict, "verdict");
  }

  /**
   * Returns whether the call may have taken effect.
   *
   * @return the verdict
   */
  public Verdict verdict() {
    return verdict;
  }
}
