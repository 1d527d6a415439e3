package org.sequoiareach.standin.engine;

/** Follows a generation and passes on what is new. Called under the lock of the engine. */
interface Follower {

  /**
   * Passes on what is new.
   *
   * @return whether nothing more can follow
   */
  boolean pump();

  /** Ends at once, without an answer. */
  void cut();
}
