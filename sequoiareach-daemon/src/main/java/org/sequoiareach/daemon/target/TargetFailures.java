package org.sequoiareach.daemon.target;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Says of a failed call to a target whether the call may have run. */
final class TargetFailures {

  private TargetFailures() {}

  /**
   * Classifies a failure. Only a connection that was never made is certain not to have carried the
   * call.
   */
  static RequestFailedException classify(String targetId, Throwable thrown) {
    if (thrown instanceof RequestFailedException failure) {
      return failure;
    }
    boolean unconnected =
        thrown instanceof ConnectException || thrown instanceof ConnectTimeoutException;
    Verdict verdict = unconnected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    String message = "target " + targetId + " failed: " + thrown;
    return failure(verdict, Reason.TARGET_FAILED, message);
  }

  static RequestFailedException failure(Verdict verdict, Reason reason, String message) {
    return new RequestFailedException(verdict, reason, message, OptionalLong.empty());
  }
}
