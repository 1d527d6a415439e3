package org.sequoiareach.store.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.sequoiareach.model.Check;

/**
 * The response to one HTTP call.
 *
 * @param status the HTTP status code
 * @param body the body, decoded as UTF-8
 * @param headers the headers
 */
public record HttpCallResponse(int status, String body, HttpHeaders headers) {

  private static final int OK = 200;

  /** Validates the components. */
  public HttpCallResponse {
    Check.notNull(body, "body");
    Check.notNull(headers, "headers");
  }

  /**
   * Returns whether the call succeeded.
   *
   * @return true if the status is 200
   */
  public boolean isOk() {
    return status == OK;
  }
}
