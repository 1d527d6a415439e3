package org.sequoiareach.daemon.dialect;

/** Thrown if a required header of a request is missing or a header is malformed. */
public final class InvalidCallException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message names the header and its value
   */
  public InvalidCallException(String message) {
    super(message);
  }
}
