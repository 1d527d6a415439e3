package org.sequoiareach.store.prefix;

import java.util.concurrent.CompletableFuture;

/**
 * Store whose keys can be read and watched by prefix. Implementations are thread-safe.
 *
 * <p>Futures fail with {@link PrefixStoreException}. Implementations do not retry calls.
 */
public interface PrefixStore {

  /**
   * Reads all keys under a prefix.
   *
   * @param prefix the prefix
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the entries, which may include some but not all changes after the snapshot's revision
   */
  CompletableFuture<PrefixSnapshot> read(String prefix, long deadlineMs);

  /**
   * Waits for changes of keys under a prefix.
   *
   * @param prefix the prefix
   * @param afterRevision the revision after which changes are reported
   * @param waitUntilMs the time at which to return an empty result, in milliseconds of {@code
   *     System.nanoTime()}
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return the changes in the order of their revisions; empty if there are none
   */
  CompletableFuture<PrefixChanges> awaitChanges(
      String prefix, long afterRevision, long waitUntilMs, long deadlineMs);
}
