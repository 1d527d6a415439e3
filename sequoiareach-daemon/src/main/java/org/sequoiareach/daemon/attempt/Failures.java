package org.sequoiareach.daemon.attempt;

import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Turns whatever went wrong into a failure with a verdict. */
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
    String message = String.valueOf(thrown.getMessage());
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN, Reason.INTERNAL, "unexpected: " + message, OptionalLong.empty());
  }
}
