package org.sequoiareach.peer;

/** Thrown when a frame cannot be decoded. */
final class PeerFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message a description of the error
   * @param cause the exception of the decoder, or null
   */
  PeerFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
