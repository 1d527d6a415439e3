package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest values of what changed and was not told to other daemons yet. Not thread-safe.
 *
 * @param <K> the type of the keys; only the latest value of each is kept
 * @param <V> the type of the values
 */
final class ChangeQueue<K, V> {

  private final int batchSize;
  private final Map<K, V> changes = new LinkedHashMap<>();

  /** Creates a queue whose values are taken in batches of a maximum size. */
  ChangeQueue(int batchSize) {
    this.batchSize = batchSize;
  }

  void put(K key, V value) {
    changes.put(key, value);
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** Removes and returns the oldest values, at most a batch. */
  List<V> take() {
    List<V> taken = new ArrayList<>();
    Iterator<V> values = changes.values().iterator();
    while (values.hasNext() && taken.size() < batchSize) {
      taken.add(values.next());
      values.remove();
    }
    return taken;
  }
}
