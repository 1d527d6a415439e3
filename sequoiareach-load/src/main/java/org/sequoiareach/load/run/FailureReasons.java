package org.sequoiareach.load.run;

import java.net.ConnectException;
import java.util.concurrent.TimeoutException;
import org.sequoiareach.store.http.MalformedResponseException;

/** Failure reasons for requests that received no complete response from the system. */
final class FailureReasons {

  static final String DEADLINE = "caller-deadline";
  static final String CONNECTION_LOST = "connection-lost";
  static final String CONNECT_FAILED = "connect-failed";
  static final String MALFORMED_RESPONSE = "malformed-response";

  private FailureReasons() {}

  static String reasonOf(Throwable thrown) {
    if (thrown instanceof TimeoutException) {
      return DEADLINE;
    }
    if (thrown instanceof ConnectException) {
      return CONNECT_FAILED;
    }
    if (thrown instanceof MalformedResponseException) {
      return MALFORMED_RESPONSE;
    }
    return CONNECTION_LOST;
  }
}
