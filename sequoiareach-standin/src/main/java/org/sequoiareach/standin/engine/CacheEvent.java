package org.sequoiareach.standin.engine;

import java.util.List;

/**
 * Reports a change of the prefix cache.
 *
 * @param seq the sequence number, from 1; a gap shows that events were lost
 * @param stored the digests of the blocks added to the cache
 * @param removed the digests of the blocks evicted from the cache
 */
public record CacheEvent(long seq, List<String> stored, List<String> removed) {

  /** Copies the lists and replaces absent ones by empty ones. */
  public CacheEvent {
    stored = stored == null ? List.of() : List.copyOf(stored);
    removed = removed == null ? List.of() : List.copyOf(removed);
  }
}
