package org.sequoiareach.model.platform;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Load report of an engine, returned by {@code GET /load}. It may be out of date.
 *
 * @param totalBlocks the total number of memory blocks for the state of generations
 * @param usedBlocks the number of blocks in use, without evictable cached prefixes
 * @param blockTokens the number of tokens per block
 * @param running the number of generations in the batch
 * @param waiting the number of generations accepted but not in the batch
 * @param preemptions the number of generations preempted from memory since the engine started
 * @param generatedTokens the number of tokens generated since the engine started
 * @param stepMs the duration of the latest step, in milliseconds
 * @param leaving whether the engine is about to stop
 * @param models the names of the loaded models
 */
public record EngineLoad(
    int totalBlocks,
    int usedBlocks,
    int blockTokens,
    int running,
    int waiting,
    long preemptions,
    long generatedTokens,
    double stepMs,
    boolean leaving,
    List<String> models) {

  /** Validates the components and copies the lists. */
  public EngineLoad {
    Check.inRange(totalBlocks, 1, Integer.MAX_VALUE, "totalBlocks");
    Check.inRange(usedBlocks, 0, Integer.MAX_VALUE, "usedBlocks");
    Check.inRange(blockTokens, 1, Integer.MAX_VALUE, "blockTokens");
    models = models == null ? List.of() : List.copyOf(models);
  }
}
