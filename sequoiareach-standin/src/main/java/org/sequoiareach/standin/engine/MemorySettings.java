package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Describes the memory for the state of generations.
 *
 * @param memoryBlocks the number of blocks
 * @param blockTokens the tokens that one block holds
 */
public record MemorySettings(int memoryBlocks, int blockTokens) {

  /** Memory for 65,536 tokens. */
  public static final MemorySettings DEFAULT = new MemorySettings(4_096, 16);

  /** Checks the parts. */
  public MemorySettings {
    Check.inRange(memoryBlocks, 1, Integer.MAX_VALUE, "memoryBlocks");
    Check.inRange(blockTokens, 1, Integer.MAX_VALUE, "blockTokens");
  }

  int blocksOf(long tokens) {
    return (int) ((tokens + blockTokens - 1) / blockTokens);
  }
}
