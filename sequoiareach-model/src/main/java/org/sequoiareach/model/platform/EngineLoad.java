package org.sequoiareach.model.platform;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds a load report that an engine gives of itself at {@code GET /load}. It lags.
 *
 * @param totalBlocks memory blocks for the state of generations
 * @param usedBlocks blocks in use, cached prefixes that may be evicted not counted
 * @param blockTokens tokens that one block holds
 * @param running generations in the batch
 * @param waiting generations accepted but not in the batch
 * @param preemptions generations pushed out of memory since the engine started
 * @param generatedTokens tokens generated since the engine started
 * @param stepMs duration of the latest step, in milliseconds
 * @param leaving whether the engine is about to stop
 * @param models names of the models loaded
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

  /** Checks and copies the parts. */
  public EngineLoad {
    Check.inRange(totalBlocks, 1, Integer.MAX_VALUE, "totalBlocks");
    Check.inRange(usedBlocks, 0, Integer.MAX_VALUE, "usedBlocks");
    Check.inRange(blockTokens, 1, Integer.MAX_VALUE, "blockTokens");
    models = models == null ? List.of() : List.copyOf(models);
  }
}
