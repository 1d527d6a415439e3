package org.sequoiareach.model.request;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Thrown when a request failed, with a verdict on whether it may have run.
 *
 * <p>Futures in this project fail only with this exception.
 */
public final class RequestFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Verdict verdict;
  private final Reason reason;
  private final Long retryAfterMs;

  /**
   * Creates the exception.
   *
   * @param verdict whether the request may have run
   * @param reason the reason for the failure
   * @param message a description for the caller that names the cause
   * @param retryAfterMs the time after which a retry is useful, in milliseconds; empty if none is
   */
  public RequestFailedException(
      Verdict verdict, Reason reason, String message, OptionalLong retryAfterMs) {
    super(Check.hasText(message, "message"));
    this.verdict = Check.notNull(verdict, "verdict");
    this.reason = Check.notNull(reason, "reason");
    this.retryAfterMs = retryAfterMs.isPresent() ? retryAfterMs.getAsLong() : null;
  }

  /**
   * Returns whether the request may have run.
   *
   * @return the verdict
   */
  public Verdict verdict() {
    return verdict;
  }

  /**
   * Returns the reason for the failure.
   *
   * @return the reason
   */
  public Reason reason() {
    return reason;
  }

  /**
   * Returns the time after which a retry is useful.
   *
   * @return the time in milliseconds, or empty if a retry is not useful
   */
  public OptionalLong retryAfterMs() {
    return retryAfterMs == null ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
  }
}
