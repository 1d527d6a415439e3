package org.sequoiareach.load.settings;

import org.sequoiareach.model.Check;

/**
 * Describes how callers of a class drop their connections and resume at another address.
 *
 * @param probability the share of streams whose connection the caller drops
 * @param afterTokens the tokens seen before it drops
 * @param onConnectionLoss whether a connection that breaks by itself is resumed as well
 */
public record ResumeSettings(double probability, int afterTokens, boolean onConnectionLoss) {

  /** The behaviour of callers that never resume. */
  public static final ResumeSettings NEVER = new ResumeSettings(0, 1, false);

  /** Checks the parts. */
  public ResumeSettings {
    Check.isTrue(probability >= 0 && probability <= 1, "'probability' must be from 0 to 1.");
    Check.inRange(afterTokens, 1, Integer.MAX_VALUE, "afterTokens");
  }
}
