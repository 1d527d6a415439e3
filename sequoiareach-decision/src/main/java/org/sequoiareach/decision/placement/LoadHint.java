package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Load summary of one target as seen by its owner, attached to answers to other daemons.
 *
 * @param targetId the target
 * @param running the attempts that the owner runs on the target
 * @param queued the attempts that wait at the owner
 * @param expectedFill the fraction of the memory of the target expected to be in use over the
 *     horizon: 0 if empty, 1 if full, above 1 if overcommitted
 * @param tokenGapMs the recent time between tokens, in milliseconds; 0 if unknown
 */
public record LoadHint(
    String targetId, int running, int queued, double expectedFill, double tokenGapMs) {

  /** Validates the components. */
  public LoadHint {
    Check.hasText(targetId, "targetId");
  }
}
