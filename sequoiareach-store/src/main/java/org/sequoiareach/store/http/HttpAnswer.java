package org.sequoiareach.store.http;

import org.sequoiareach.model.Check;

/**
 * Holds the answer to one HTTP call.
 *
 * @param status the HTTP status
 * @param body the body, read as UTF-8
 */
public record HttpAnswer(int status, String body) {

  private static final int OK = 200;

  /** Checks the parts. */
  public HttpAnswer {
    Check.notNull(body, "body");
  }

  /**
   * Tells whether the call succeeded.
   *
   * @return true if the status is 200
   */
  public boolean isOk() {
    return status == OK;
  }
}
