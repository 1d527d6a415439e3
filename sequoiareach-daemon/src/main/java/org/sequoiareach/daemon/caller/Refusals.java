package org.sequoiareach.daemon.caller;

import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Creates failures of requests that the daemon rejects before they are submitted or executed. */
final class Refusals {

  private Refusals() {}

  /** Returns a failure with the verdict {@code NOT_RUN} and without a retry delay. */
  static RequestFailedException of(Reason reason, String message) {
    return new RequestFailedException(Verdict.NOT_RUN, reason, message, OptionalLong.empty());
  }
}
