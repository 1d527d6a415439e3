package org.sequoiareach.store.prefix;

import java.util.List;

/** Receives the keys that a {@link PrefixWatcher} reads. Invoked by one thread at a time. */
public interface PrefixListener extends ReachabilityListener {

  /**
   * Invoked when all keys have been read.
   *
   * @param snapshot the keys
   */
  void onSnapshot(PrefixSnapshot snapshot);

  /**
   * Invoked when keys have changed since the last snapshot or change.
   *
   * @param changes the changes, in the order of their revisions
   */
  void onChanges(List<PrefixEntry> changes);

  /**
   * Invoked after {@link #onSnapshot} and {@link #onChanges}, and when a watch ended without
   * changes.
   *
   * @param asOfMs a time at which the store held nothing newer than what was reported, in
   *     milliseconds of {@code System.nanoTime()}
   */
  void onCurrent(long asOfMs);
}
