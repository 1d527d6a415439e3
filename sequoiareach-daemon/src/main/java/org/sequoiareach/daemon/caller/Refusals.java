package org.sequoiareach.daemon.caller;

import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Creates refusals of requests that went no further than this daemon's door. */
final class Refusals {

  private Refusals() {}

  static RequestFailedException of(Reason reason, String message) {
    return new RequestFailedException(Verdict.NOT_RUN, reason, message, OptionalLong.empty());
  }
}
