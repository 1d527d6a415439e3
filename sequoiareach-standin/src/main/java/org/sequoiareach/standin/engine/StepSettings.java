package org.sequoiareach.standin.engine;

import org.sequoiareach.model.Check;

/**
 * Says how long one step of the batch takes: {@code stepBaseMs + stepPerSequenceMs * sequences +
 * stepPerContextTokenMs * context tokens of the batch + prefillPerTokenMs * tokens prefilled}.
 *
 * @param stepBaseMs milliseconds of every step
 * @param stepPerSequenceMs milliseconds for each sequence of the batch
 * @param stepPerContextTokenMs milliseconds for each token of context in the batch
 * @param prefillPerTokenMs milliseconds for each token prefilled in the step
 * @param prefillChunkTokens the most tokens prefilled in one step
 * @param maxBatch the most sequences in the batch
 */
public record StepSettings(
    double stepBaseMs,
    double stepPerSequenceMs,
    double stepPerContextTokenMs,
    double prefillPerTokenMs,
    int prefillChunkTokens,
    int maxBatch) {

  /** Steps of about 15 to 40 ms, as of a large model on one machine. */
  public static final StepSettings DEFAULT = new StepSettings(12, 0.3, 0.0002, 0.05, 512, 64);

  /** Checks the parts. */
  public StepSettings {
    Check.isTrue(stepBaseMs > 0, "'stepBaseMs' must be positive.");
    Check.isTrue(stepPerSequenceMs >= 0, "'stepPerSequenceMs' must not be negative.");
    Check.isTrue(stepPerContextTokenMs >= 0, "'stepPerContextTokenMs' must not be negative.");
    Check.isTrue(prefillPerTokenMs >= 0, "'prefillPerTokenMs' must not be negative.");
    Check.inRange(prefillChunkTokens, 1, Integer.MAX_VALUE, "prefillChunkTokens");
    Check.inRange(maxBatch, 1, Integer.MAX_VALUE, "maxBatch");
  }
}
