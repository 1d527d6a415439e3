package org.sequoiareach.store.prefix;

import java.util.List;

/** Receives what a {@link PrefixFollower} learns. Called on one thread at a time. */
public interface PrefixListener extends ContactListener {

  /**
   * All keys were read.
   *
   * @param snapshot the keys
   */
  void onSnapshot(PrefixSnapshot snapshot);

  /**
   * Keys have changed since the last snapshot or change.
   *
   * @param changes the changes
   */
  void onChanges(List<PrefixEntry> changes);
}
