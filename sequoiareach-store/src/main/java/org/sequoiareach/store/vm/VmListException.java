package org.sequoiareach.store.vm;

/** Thrown when the platform's VM list cannot be read. */
public final class VmListException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message a message that names the address and the failure
   * @param cause the cause, or null
   */
  public VmListException(String message, Throwable cause) {
    super(message, cause);
  }
}
