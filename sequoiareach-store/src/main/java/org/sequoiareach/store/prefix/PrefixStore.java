package org.sequoiareach.store.prefix;

import java.util.concurrent.CompletableFuture;

/**
 * Reads keys of a store by their prefix and waits for their changes. Thread-safe.
 *
 * <p>Futures fail with {@link PrefixStoreException}. No call is repeated by an implementation.
 */
public interface PrefixStore {

  /**
   * Reads all keys under a prefix.
   *
   * @param prefix the prefix
   * @param deadlineMs when to give up, in milliseconds of {@code System.nanoTime()}
   * @return the entries; changes after its revision are not all among them
   */
  CompletableFuture<PrefixSnapshot> read(String prefix, long deadlineMs);

  /**
   * Waits for changes of keys under a prefix.
   *
   * @param prefix the prefix
   * @param afterRevision the revision after which changes count
   * @param waitUntilMs when to answer although nothing has changed
   * @param deadlineMs when to give up
   * @return the changes in the order of their revisions; empty if nothing has changed
   */
  CompletableFuture<PrefixChanges> awaitChanges(
      String prefix, long afterRevision, long waitUntilMs, long deadlineMs);
}
