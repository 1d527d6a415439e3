package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Configures the duration of a batch step: {@code stepBaseMs + stepPerSequenceMs * sequences +
 * stepPerContextTokenMs * context tokens of the batch + prefillPerTokenMs * tokens prefilled}.
 *
 * @param stepBaseMs the fixed duration of a step in milliseconds
 * @param stepPerSequenceMs the duration in milliseconds per sequence of the batch
 * @param stepPerContextTokenMs the duration in milliseconds per context token of the batch
 * @param prefillPerTokenMs the duration in milliseconds per token prefilled in the step
 * @param prefillChunkTokens the maximum number of tokens prefilled in one step
 * @param maxBatch the maximum number of sequences in the batch
 */
public record StepSettings(
    double stepBaseMs,
    double stepPerSequenceMs,
    double stepPerContextTokenMs,
    double prefillPerTokenMs,
    int prefillChunkTokens,
    int maxBatch) {

  /** The default: steps of about 15 to 40 ms, as for a large model on one machine. */
  public static final StepSettings DEFAULT = new StepSettings(12, 0.3, 0.0002, 0.05, 512, 64);

  /** Validates the settings. */
  public StepSettings {
    Check.isTrue(stepBaseMs > 0, "'stepBaseMs' must be positive.");
    Check.isTrue(stepPerSequenceMs >= 0, "'stepPerSequenceMs' must not be negative.");
    Check.isTrue(stepPerContextTokenMs >= 0, "'stepPerContextTokenMs' must not be negative.");
    Check.isTrue(prefillPerTokenMs >= 0, "'prefillPerTokenMs' must not be negative.");
    Check.inRange(prefillChunkTokens, 1, Integer.MAX_VALUE, "prefillChunkTokens");
    Check.inRange(maxBatch, 1, Integer.MAX_VALUE, "maxBatch");
  }
}
