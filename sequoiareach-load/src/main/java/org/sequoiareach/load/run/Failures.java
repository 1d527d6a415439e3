package org.sequoiareach.load.run;

import java.net.ConnectException;
import java.util.concurrent.TimeoutException;

/** Names the failures that a caller meets without an answer from the system. */
final class Failures {

  static final String DEADLINE = "caller-deadline";
  static final String CONNECTION_LOST = "connection-lost";
  static final String CONNECT_FAILED = "connect-failed";

  private Failures() {}

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
