package org.sequoiareach.daemon.caller;

import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Creates the failures of callers whose API key is not known. */
final class AuthenticationFailures {

  private static final long RETRY_AFTER_MS = 1_000;

  private AuthenticationFailures() {}

  /** Returns a failure that rejects the key, or a retryable one if no sheet lists the keys yet. */
  static RequestFailedException of(PlatformDirectory directory) {
    if (directory.findSheet().isEmpty()) {
      return new RequestFailedException(
          Verdict.NOT_RUN,
          Reason.NOT_READY,
          "the daemon has not received a sheet yet",
          OptionalLong.of(RETRY_AFTER_MS));
    }
    return Refusals.of(Reason.UNKNOWN_KEY, "the API key is missing or unknown");
  }
}
