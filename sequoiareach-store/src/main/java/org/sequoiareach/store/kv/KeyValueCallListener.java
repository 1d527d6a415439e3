package org.sequoiareach.store.kv;

/** Is told of every call that leaves for the key-value service, for metrics. */
@FunctionalInterface
public interface KeyValueCallListener {

  /** Ignores every call. */
  KeyValueCallListener NONE = call -> {};

  /**
   * Records a call. It is called on I/O threads and must not block.
   *
   * @param call the kind of call
   */
  void called(KeyValueCall call);
}
