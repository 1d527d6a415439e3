package org.sequoiareach.decision.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.request.RequestSpec;

/**
 * Tells which targets are likely to have the prefix of a prompt cached.
 *
 * <p>It learns from the cache events of targets where this daemon gets them, and otherwise from
 * where it has sent like prompts, which is uncertain. The number of targets and of prefixes kept is
 * bounded; the least recently used are dropped. Not thread-safe: it belongs to the control thread.
 */
public final class PrefixLocality {

  private static final int MOST_TABLES = 256;
  private static final int MOST_HOLDERS = 8_192;

  private final Map<String, PrefixTable> tables = new BoundedMap<>(MOST_TABLES);
  private final Map<Long, String> holders = new BoundedMap<>(MOST_HOLDERS);

  /**
   * Records an event of a target's cache.
   *
   * @param targetId the target
   * @param sequence the number of the event; a gap makes what was known before uncertain
   * @param stored digests of the prefixes now cached
   * @param removed digests of the prefixes no longer cached
   */
  public void cacheChanged(String targetId, long sequence, List<Long> stored, List<Long> removed) {
    Check.hasText(targetId, "targetId");
    table(targetId).apply(sequence, stored, removed);
    stored.forEach(digest -> holders.put(digest, targetId));
    removed.forEach(digest -> holders.remove(digest, targetId));
  }

  /**
   * Forgets a target's cache, as the target has started anew or has left.
   *
   * @param targetId the target
   */
  public void forget(String targetId) {
    Optional.ofNullable(tables.remove(targetId)).ifPresent(PrefixTable::clear);
    holders.values().removeIf(targetId::equals);
  }

  /** Records that a prompt was sent to a target. */
  void sent(String targetId, RequestSpec spec) {
    if (spec.prefixDigests().isEmpty()) {
      return;
    }
    table(targetId).expect(spec.prefixDigests());
    spec.prefixDigests().forEach(digest -> holders.put(digest, targetId));
  }

  /** Returns the worth of what a target has cached of a prompt, from 0 to 1. */
  double match(String targetId, RequestSpec spec) {
    if (spec.prefixDigests().isEmpty()) {
      return 0;
    }
    PrefixTable table = tables.get(targetId);
    return table == null ? 0 : table.match(spec.prefixDigests());
  }

  /** Finds the target that latest took the longest known prefix of a prompt. */
  Optional<String> findHolder(RequestSpec spec) {
    List<Long> digests = spec.prefixDigests();
    for (int i = digests.size() - 1; i >= 0; i--) {
      String holder = holders.get(digests.get(i));
      if (holder != null) {
        return Optional.of(holder);
      }
    }
    return Optional.empty();
  }

  private PrefixTable table(String targetId) {
    return tables.computeIfAbsent(targetId, id -> new PrefixTable());
  }

  private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int bound;

    BoundedMap(int bound) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.bound = bound;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > bound;
    }
  }
}
