package org.sequoiareach.store.prefix;

/** Is told whether the store answers. Called on one thread at a time. */
public interface ContactListener {

  /**
   * A call to the store was answered or has failed.
   *
   * @param reachable whether it was answered
   * @param detail what failed; empty where nothing did
   */
  void onContact(boolean reachable, String detail);
}
