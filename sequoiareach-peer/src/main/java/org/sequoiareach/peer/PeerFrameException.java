package org.sequoiareach.peer;

/** Reports a frame that cannot be decoded or that is out of place. */
final class PeerFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates a report.
   *
   * @param message what is wrong with the frame
   * @param cause the decoder's complaint, or null
   */
  PeerFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
