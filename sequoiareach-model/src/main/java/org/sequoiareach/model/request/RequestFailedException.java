package org.sequoiareach.model.request;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Reports that a request has failed, with a verdict on whether it may have run.
 *
 * <p>Futures of the project fail with this exception and no other.
 */
public final class RequestFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Verdict verdict;
  private final Reason reason;
  private final Long retryAfterMs;

  /**
   * Creates a failure.
   *
   * @param verdict whether the request may have run
   * @param reason why it failed
   * @param message a sentence for the caller that names the offender
   * @param retryAfterMs milliseconds after which another attempt makes sense, if one does
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
   * Returns why the request failed.
   *
   * @return the reason
   */
  public Reason reason() {
    return reason;
  }

  /**
   * Returns when another attempt makes sense.
   *
   * @return milliseconds from now, or empty where another attempt makes no sense
   */
  public OptionalLong retryAfterMs() {
    return retryAfterMs == null ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
  }
}
