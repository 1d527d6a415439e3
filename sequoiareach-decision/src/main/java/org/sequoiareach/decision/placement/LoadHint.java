package org.sequoiareach.decision.placement;

import org.sequoiareach.model.Check;

/**
 * Sums up one target as its owner sees it, carried to other daemons on answers.
 *
 * @param targetId the target
 * @param running attempts running there through the owner
 * @param queued attempts that wait at the owner
 * @param expectedFill the share of the target's memory expected to be in use over the horizon, 0
 *     for empty, 1 for full, more when overcommitted
 * @param tokenGapMs the recent time between tokens, in milliseconds; 0 where unknown
 */
public record LoadHint(
    String targetId, int running, int queued, double expectedFill, double tokenGapMs) {

  /** Checks the parts. */
  public LoadHint {
    Check.hasText(targetId, "targetId");
  }
}
