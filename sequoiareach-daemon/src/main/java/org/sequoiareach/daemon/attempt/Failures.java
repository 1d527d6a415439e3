package org.sequoiareach.daemon.attempt;

import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Turns whatever went wrong into a failure with a verdict, and failures into outcomes and back. */
public final class Failures {

  private Failures() {}

  /**
   * Classifies a failure.
   *
   * @param thrown what went wrong
   * @return the failure itself if it already has a verdict; else one that promises nothing
   */
  public static RequestFailedException classify(Throwable thrown) {
    if (thrown instanceof RequestFailedException failure) {
      return failure;
    }
    String message = "unexpected: " + thrown;
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN, Reason.INTERNAL, message, OptionalLong.empty());
  }

  /**
   * Converts a failure to the outcome of its attempt.
   *
   * @param failure the failure
   * @return the outcome
   */
  public static Outcome outcome(RequestFailedException failure) {
    return new Outcome(
        failure.verdict(),
        Optional.of(failure.reason()),
        failure.getMessage(),
        0,
        failure.retryAfterMs().orElse(0));
  }

  /**
   * Converts the outcome of a failed attempt to a failure.
   *
   * @param outcome the outcome, not a success
   * @return the failure
   */
  public static RequestFailedException failure(Outcome outcome) {
    OptionalLong retryAfterMs =
        outcome.retryAfterMs() > 0 ? OptionalLong.of(outcome.retryAfterMs()) : OptionalLong.empty();
    String message = outcome.message().isBlank() ? "the attempt failed" : outcome.message();
    return new RequestFailedException(
        outcome.verdict(), outcome.reason().orElse(Reason.INTERNAL), message, retryAfterMs);
  }
}
