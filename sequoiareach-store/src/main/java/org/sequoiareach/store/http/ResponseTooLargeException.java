package org.sequoiareach.store.http;

/** Thrown if the body of a response exceeds its limit. */
public final class ResponseTooLargeException extends RuntimeException {

  private static final long serialVersionUID = 1;

  ResponseTooLargeException(int maxBodyBytes) {
    super("the response is longer than " + maxBodyBytes + " bytes");
  }
}
