package org.sequoiareach.daemon.attempt;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Classifies exceptions as request failures and converts those to and from attempt outcomes. */
public final class RequestFailures {

  private RequestFailures() {}

  /**
   * Converts an exception to a request failure.
   *
   * @param thrown the exception
   * @return the exception itself if it is a request failure; otherwise an internal failure with the
   *     verdict {@code MAY_HAVE_RUN}
   */
  public static RequestFailedException classify(Throwable thrown) {
    if (thrown instanceof RequestFailedException failure) {
      return failure;
    }
    String message = "unexpected exception: " + thrown;
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN, Reason.INTERNAL, message, OptionalLong.empty());
  }

  /**
   * Converts a request failure to the outcome of its attempt.
   *
   * @param failure the failure
   * @return the outcome
   */
  public static Outcome toOutcome(RequestFailedException failure) {
    return new Outcome(
        failure.verdict(),
        Optional.of(failure.reason()),
        failure.getMessage(),
        0,
        failure.retryAfterMs().orElse(0));
  }

  /**
   * Converts the outcome of a failed attempt to a request failure.
   *
   * @param outcome the outcome of an attempt that did not succeed
   * @return the failure
   */
  public static RequestFailedException toException(Outcome outcome) {
    OptionalLong retryAfterMs =
        outcome.retryAfterMs() > 0 ? OptionalLong.of(outcome.retryAfterMs()) : OptionalLong.empty();
    String message = outcome.message().isBlank() ? "the attempt failed" : outcome.message();
    return new RequestFailedException(
        outcome.verdict(), outcome.reason().orElse(Reason.INTERNAL), message, retryAfterMs);
  }
}
