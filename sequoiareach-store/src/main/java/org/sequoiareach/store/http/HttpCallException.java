package org.sequoiareach.store.http;

/** Thrown when an HTTP call fails without a usable response. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param message a message that names the address and the failure
   * @param sent whether any part of the request may have left this process
   * @param cause the cause, or null
   */
  public HttpCallException(String message, boolean sent, Throwable cause) {
    super(message, cause);
    this.sent = sent;
  }

  /**
   * Returns whether the server may have received the request.
   *
   * @return false only if no part of the request has left this process and none ever will
   */
  public boolean sent() {
    return sent;
  }
}
