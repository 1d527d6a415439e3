package org.sequoiareach.daemon.target;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Creates failures of calls to targets and decides whether the call may have been executed. */
final class TargetFailures {

  private TargetFailures() {}

  /**
   * Classifies an exception. Only if no connection was established is it certain that the call was
   * not executed.
   */
  static RequestFailedException classify(String targetId, Throwable thrown) {
    if (thrown instanceof RequestFailedException failure) {
      return failure;
    }
    boolean notConnected =
        thrown instanceof ConnectException || thrown instanceof ConnectTimeoutException;
    Verdict verdict = notConnected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    String message = "target " + targetId + " failed: " + thrown;
    return failure(verdict, Reason.TARGET_FAILED, message);
  }

  static RequestFailedException failure(Verdict verdict, Reason reason, String message) {
    return new RequestFailedException(verdict, reason, message, OptionalLong.empty());
  }
}
