package org.sequoiareach.decision.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Index of the prompt prefixes that targets are likely to have cached.
 *
 * <p>It is fed by the cache events of targets where this daemon receives them. Otherwise it assumes
 * that a prompt sent to a target is cached there, which is unconfirmed. The numbers of targets and
 * of prefixes are bounded; the least recently used entries are evicted.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class PrefixCacheIndex {

  private static final int MAX_TARGETS = 256;
  private static final int MAX_PREFIXES = 8_192;

  private final Map<String, TargetPrefixCache> caches = new LruMap<>(MAX_TARGETS);
  private final Map<Long, String> targetsByPrefix = new LruMap<>(MAX_PREFIXES);

  /**
   * Applies a cache event of a target.
   *
   * @param targetId the target
   * @param sequence the sequence number of the event; after a gap all earlier entries are
   *     unconfirmed
   * @param stored the digests of the prefixes that are now cached
   * @param removed the digests of the prefixes that are no longer cached
   */
  public void applyCacheEvent(
      String targetId, long sequence, List<Long> stored, List<Long> removed) {
    Check.hasText(targetId, "targetId");
    cache(targetId).apply(sequence, stored, removed);
    stored.forEach(digest -> targetsByPrefix.put(digest, targetId));
    removed.forEach(digest -> targetsByPrefix.remove(digest, targetId));
  }

  /**
   * Discards all prefixes of a target that has restarted or left.
   *
   * @param targetId the target
   */
  public void removeTarget(String targetId) {
    Optional.ofNullable(caches.remove(targetId)).ifPresent(TargetPrefixCache::clear);
    targetsByPrefix.values().removeIf(targetId::equals);
  }

  /** Records that a prompt was sent to a target and is therefore likely to be cached there. */
  void recordSent(String targetId, RequestSpec spec) {
    if (spec.prefixDigests().isEmpty()) {
      return;
    }
    cache(targetId).addUnconfirmed(spec.prefixDigests());
    spec.prefixDigests().forEach(digest -> targetsByPrefix.put(digest, targetId));
  }

  /** Returns how much of a prompt a target is likely to have cached, from 0 to 1. */
  double matchScore(String targetId, RequestSpec spec) {
    if (spec.prefixDigests().isEmpty()) {
      return 0;
    }
    TargetPrefixCache cache = caches.get(targetId);
    return cache == null ? 0 : cache.matchScore(spec.prefixDigests());
  }

  /**
   * Returns the target that most recently received or cached the longest known prefix of a prompt.
   */
  Optional<String> findTargetWithPrefix(RequestSpec spec) {
    List<Long> digests = spec.prefixDigests();
    for (int i = digests.size() - 1; i >= 0; i--) {
      String target = targetsByPrefix.get(digests.get(i));
      if (target != null) {
        return Optional.of(target);
      }
    }
    return Optional.empty();
  }

  private TargetPrefixCache cache(String targetId) {
    return caches.computeIfAbsent(targetId, id -> new TargetPrefixCache());
  }

  private static final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    LruMap(int capacity) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > capacity;
    }
  }
}
