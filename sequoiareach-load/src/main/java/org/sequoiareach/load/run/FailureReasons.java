package org.sequoiareach.load.run;

import java.net.ConnectException;
import java.util.concurrent.TimeoutException;

/** Failure reasons for requests that received no complete response from the system. */
final class FailureReasons {

  static final String DEADLINE = "caller-deadline";
  static final String CONNECTION_LOST = "connection-lost";
  static final String CONNECT_FAILED = "connect-failed";

  private FailureReasons() {}

  static String reasonOf(Throwable thrown) {
    if (thrown instanceof TimeoutException) {
      return DEADLINE;
    }
    if (thrown instanceof ConnectException) {
      return CONNECT_FAILED;
    }
    return CONNECTION_LOST;
  }
}
