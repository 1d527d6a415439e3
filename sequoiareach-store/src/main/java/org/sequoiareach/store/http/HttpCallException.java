package org.sequoiareach.store.http;

/** Reports that an HTTP call had no usable answer. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param message a sentence that names the address and what happened
   * @param sent whether any part of the request may have left this process
   * @param cause the cause, or null
   */
  public HttpCallException(String message, boolean sent, Throwable cause) {
    super(message, cause);
    this.sent = sent;
  }

  /**
   * Tells whether the server may have received the request.
   *
   * @return false only if no part of the request has left or will leave this process
   */
  public boolean sent() {
    return sent;
  }
}
