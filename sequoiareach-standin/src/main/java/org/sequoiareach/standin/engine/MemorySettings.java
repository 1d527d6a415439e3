package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Configures the KV cache of an engine.
 *
 * @param memoryBlocks the number of blocks
 * @param blockTokens the number of tokens per block
 */
public record MemorySettings(int memoryBlocks, int blockTokens) {

  /** The default: a capacity of 65,536 tokens. */
  public static final MemorySettings DEFAULT = new MemorySettings(4_096, 16);

  /** Validates the settings. */
  public MemorySettings {
    Check.inRange(memoryBlocks, 1, Integer.MAX_VALUE, "memoryBlocks");
    Check.inRange(blockTokens, 1, Integer.MAX_VALUE, "blockTokens");
  }

  int blocksFor(long tokens) {
    return (int) ((tokens + blockTokens - 1) / blockTokens);
  }
}
