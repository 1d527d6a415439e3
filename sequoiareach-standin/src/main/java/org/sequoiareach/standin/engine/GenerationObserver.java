package org.sequoiareach.standin.engine;

/**
 * Observes a generation and delivers its new output. Called while the lock of the engine is held.
 */
interface GenerationObserver {

  /**
   * Delivers output that was not delivered yet.
   *
   * @return whether the observer has ended and can be removed
   */
  boolean deliver();

  /** Ends at once with an error, so that the connection is closed without a complete response. */
  void disconnect();
}
