package org.sequoiareach.daemon.caller;

import java.util.OptionalLong;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;

/** Tells a caller without a known key why it is refused. */
final class KeyRefusal {

  private static final long RETRY_AFTER_MS = 1_000;

  private KeyRefusal() {}

  /** Blames the key only where there is a sheet to know it from. */
  static RequestFailedException of(KeyDirectory keys) {
    if (keys.findSheet().isEmpty()) {
      return new RequestFailedException(
          Verdict.NOT_RUN,
          Reason.NOT_READY,
          "the daemon does not know the sheet in force yet",
          OptionalLong.of(RETRY_AFTER_MS));
    }
    return Refusals.of(Reason.UNKNOWN_KEY, "the key is missing or unknown");
  }
}
