package org.sequoiareach.store.kv;

/** Receives every call that is sent to the key-value service, for metrics. */
@FunctionalInterface
public interface KeyValueCallListener {

  /** A listener that ignores all calls. */
  KeyValueCallListener NONE = call -> {};

  /**
   * Invoked for each call, possibly by an I/O thread. Implementations must be thread-safe and must
   * not block.
   *
   * @param call the kind of call
   */
  void onCall(KeyValueCall call);
}
