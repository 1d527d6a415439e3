package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Keeps account of memory blocks: blocks of one generation alone, prompt blocks that generations
 * share, and prompt blocks that nobody uses but that stay cached until their room is needed. Not
 * thread-safe.
 */
final class BlockMemory {

  private final int totalBlocks;
  private final Map<String, Integer> users = new HashMap<>();
  private final LinkedHashSet<String> unused = new LinkedHashSet<>();
  private List<String> stored = new ArrayList<>();
  private List<String> removed = new ArrayList<>();
  private int ownBlocks;
  private long prefixHits;

  BlockMemory(int totalBlocks) {
    this.totalBlocks = totalBlocks;
  }

  /** Returns the blocks in use; cached blocks that nobody uses are not counted. */
  int usedBlocks() {
    return ownBlocks + users.size();
  }

  int heldBlocks() {
    return usedBlocks() + unused.size();
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
   * Tries to give a waiting generation its blocks, and sets what it has to prefill.
   *
   * @param reserve the blocks that must stay available afterwards
   * @return whether there was room
   */
  boolean tryEnter(Generation generation, MemorySettings settings, int reserve) {
    int hits = acquireCached(generation.promptBlocks);
    long context = generation.contextTokens();
    int needed = settings.blocksOf(context + 1) - hits;
    List<String> found = List.copyOf(generation.promptBlocks.subList(0, hits));
    if (availableBlocks() < needed + reserve || !tryTake(needed)) {
      release(found);
      return false;
    }
    prefixHits += hits;
    generation.ownBlocks = needed;
    generation.sharedBlocks.addAll(found);
    long cached = (long) hits * settings.blockTokens();
    generation.prefillLeft = (int) Math.max(1, context - cached);
    return true;
  }

  /** Tries to give a generation one more block of its own. */
  boolean tryGrow(Generation generation) {
    if (!tryTake(1)) {
      return false;
    }
    generation.ownBlocks++;
    return true;
  }

  /** Puts the full prompt blocks of a generation, now computed, into the cache. */
  void share(Generation generation) {
    List<String> digests = generation.promptBlocks;
    for (String digest : digests.subList(generation.sharedBlocks.size(), digests.size())) {
      if (users.containsKey(digest) || unused.contains(digest)) {
        return;
      }
      users.put(digest, 1);
      stored.add(digest);
      generation.sharedBlocks.add(digest);
      generation.ownBlocks--;
      ownBlocks--;
    }
  }

  /** Takes all blocks from a generation; its prompt blocks stay cached. */
  void leave(Generation generation) {
    ownBlocks -= generation.ownBlocks;
    generation.ownBlocks = 0;
    release(generation.sharedBlocks);
    generation.sharedBlocks.clear();
  }

  /** Returns the changes of the cache since the last call. */
  CacheChange drainChanges() {
    CacheChange change = new CacheChange(stored, removed);
    stored = new ArrayList<>();
    removed = new ArrayList<>();
    return change;
  }

  private int acquireCached(List<String> digests) {
    int hits = 0;
    for (String digest : digests) {
      if (!users.containsKey(digest) && !unused.remove(digest)) {
        break;
      }
      users.merge(digest, 1, Integer::sum);
      hits++;
    }
    return hits;
  }

  private boolean tryTake(int blocks) {
    if (availableBlocks() < blocks) {
      return false;
    }
    ownBlocks += blocks;
    Iterator<String> oldest = unused.iterator();
    while (heldBlocks() > totalBlocks) {
      removed.add(oldest.next());
      oldest.remove();
    }
    return true;
  }

  /** Releases from the last block on, so that the start of a prompt is evicted last. */
  private void release(List<String> digests) {
    for (int i = digests.size() - 1; i >= 0; i--) {
      String digest = digests.get(i);
      if (users.merge(digest, -1, Integer::sum) == 0) {
        users.remove(digest);
        unused.add(digest);
      }
    }
  }

  /** Lists the digests that the cache took and dropped. */
  record CacheChange(List<String> stored, List<String> removed) {

    boolean isEmpty() {
      return stored.isEmpty() && removed.isEmpty();
    }
  }
}
