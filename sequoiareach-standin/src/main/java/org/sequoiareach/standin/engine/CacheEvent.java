package org.sequoiareach.standin.engine;

import java.util.List;

/**
 * Tells of a change of the prefix cache.
 *
 * @param seq the number of the event, from 1; a gap shows that events were lost
 * @param stored the digests of blocks stored
 * @param removed the digests of blocks removed
 */
public record CacheEvent(long seq, List<String> stored, List<String> removed) {

  /** Copies the parts. */
  public CacheEvent {
    stored = stored == null ? List.of() : List.copyOf(stored);
    removed = removed == null ? List.of() : List.copyOf(removed);
  }
}
