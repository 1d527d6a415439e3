package org.sequoiareach.daemon.dialect;

/** Reports a request whose headers cannot be read. */
public final class InvalidCallException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message a sentence that names the header and its value
   */
  public InvalidCallException(String message) {
    super(message);
  }
}
