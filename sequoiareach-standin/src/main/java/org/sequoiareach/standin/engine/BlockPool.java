package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Tracks the KV cache blocks of an engine.
 *
 * <p>A block in use is either private to one generation or a prompt block shared by generations
 * with a common prefix. Prompt blocks without a user stay cached and are evicted, least recently
 * used first, when the space is needed. Not thread-safe.
 */
final class BlockPool {

  private final int totalBlocks;
  private final Map<String, Integer> referenceCounts = new HashMap<>();
  private final LinkedHashSet<String> evictable = new LinkedHashSet<>();
  private List<String> stored = new ArrayList<>();
  private List<String> removed = new ArrayList<>();
  private int privateBlocks;
  private long prefixHits;

  BlockPool(int totalBlocks) {
    this.totalBlocks = totalBlocks;
  }

  /** Returns the number of blocks in use, without cached blocks that no generation uses. */
  int usedBlocks() {
    return privateBlocks + referenceCounts.size();
  }

  int allocatedBlocks() {
    return usedBlocks() + evictable.size();
  }

  int totalBlocks() {
    return totalBlocks;
  }

  int availableBlocks() {
    return totalBlocks - usedBlocks();
  }

  long prefixHits() {
    return prefixHits;
  }

  /**
   * Tries to allocate the blocks of a waiting generation, and sets the tokens that it must prefill.
   *
   * @param reserve the number of blocks that must stay available afterwards
   * @return whether enough blocks were available
   */
  boolean tryAllocate(Generation generation, MemorySettings settings, int reserve) {
    int hits = acquireCached(generation.promptBlocks);
    long context = generation.contextTokens();
    int needed = settings.blocksFor(context + 1) - hits;
    List<String> hitDigests = List.copyOf(generation.promptBlocks.subList(0, hits));
    if (availableBlocks() < needed + reserve || !tryReserve(needed)) {
      releaseShared(hitDigests);
      return false;
    }
    prefixHits += hits;
    generation.privateBlocks = needed;
    generation.sharedBlocks.addAll(hitDigests);
    long cached = (long) hits * settings.blockTokens();
    generation.remainingPrefillTokens = (int) Math.max(1, context - cached);
    return true;
  }

  /** Tries to allocate one more private block to a generation. */
  boolean tryAllocateNext(Generation generation) {
    if (!tryReserve(1)) {
      return false;
    }
    generation.privateBlocks++;
    return true;
  }

  /** Adds the computed full prompt blocks of a generation to the prefix cache. */
  void cachePrompt(Generation generation) {
    List<String> digests = generation.promptBlocks;
    for (String digest : digests.subList(generation.sharedBlocks.size(), digests.size())) {
      if (referenceCounts.containsKey(digest) || evictable.contains(digest)) {
        return;
      }
      referenceCounts.put(digest, 1);
      stored.add(digest);
      generation.sharedBlocks.add(digest);
      generation.privateBlocks--;
      privateBlocks--;
    }
  }

  /** Frees all blocks of a generation; its shared prompt blocks stay cached. */
  void free(Generation generation) {
    privateBlocks -= generation.privateBlocks;
    generation.privateBlocks = 0;
    releaseShared(generation.sharedBlocks);
    generation.sharedBlocks.clear();
  }

  /** Returns and clears the changes of the prefix cache since the last call. */
  CacheChange drainChanges() {
    CacheChange change = new CacheChange(stored, removed);
    stored = new ArrayList<>();
    removed = new ArrayList<>();
    return change;
  }

  private int acquireCached(List<String> digests) {
    int hits = 0;
    for (String digest : digests) {
      if (!referenceCounts.containsKey(digest) && !evictable.remove(digest)) {
        break;
      }
      referenceCounts.merge(digest, 1, Integer::sum);
      hits++;
    }
    return hits;
  }

  private boolean tryReserve(int blocks) {
    if (availableBlocks() < blocks) {
      return false;
    }
    privateBlocks += blocks;
    Iterator<String> oldest = evictable.iterator();
    while (allocatedBlocks() > totalBlocks) {
      removed.add(oldest.next());
      oldest.remove();
    }
    return true;
  }

  /** Releases blocks in reverse order, so that the start of a prompt is evicted last. */
  private void releaseShared(List<String> digests) {
    for (int i = digests.size() - 1; i >= 0; i--) {
      String digest = digests.get(i);
      if (referenceCounts.merge(digest, -1, Integer::sum) == 0) {
        referenceCounts.remove(digest);
        evictable.add(digest);
      }
    }
  }

  /** Lists the digests of the blocks that were added to and evicted from the prefix cache. */
  record CacheChange(List<String> stored, List<String> removed) {

    boolean isEmpty() {
      return stored.isEmpty() && removed.isEmpty();
    }
  }
}
