package org.sequoiareach.store.prefix;

/** Receives the reachability of the store. Invoked by one thread at a time. */
public interface ReachabilityListener {

  /**
   * Invoked when a call to the store has succeeded or failed.
   *
   * @param reachable whether the call succeeded
   * @param detail the message of the failure; empty if the call succeeded
   */
  void onCallCompleted(boolean reachable, String detail);
}
