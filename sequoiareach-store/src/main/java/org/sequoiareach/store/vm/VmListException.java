package org.sequoiareach.store.vm;

/** Reports that the platform's list of VMs could not be read. */
public final class VmListException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message a sentence that names the address and what happened
   * @param cause the cause, or null
   */
  public VmListException(String message, Throwable cause) {
    super(message, cause);
  }
}
