package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Configures how clients drop streaming connections and resume them at another address.
 *
 * @param probability the probability that the client drops the connection of a stream
 * @param afterTokens the number of tokens received before the client drops the connection
 * @param onConnectionLoss whether to resume connections lost for other reasons as well
 */
public record ResumeSettings(double probability, int afterTokens, boolean onConnectionLoss) {

  /** Never drops a connection and never resumes a stream. */
  public static final ResumeSettings NEVER = new ResumeSettings(0, 1, false);

  /** Validates the components. */
  public ResumeSettings {
    Check.isTrue(
        probability >= 0 && probability <= 1,
        "'probability' must be between 0 and 1, but is " + probability + ".");
    Check.inRange(afterTokens, 1, Integer.MAX_VALUE, "afterTokens");
  }
}
