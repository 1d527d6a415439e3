package org.sequoiareach.model.platform;

import org.sequoiareach.model.Check;

/**
 * Sums up one target as its owner sees it, carried to other daemons on answers.
 *
 * @param targetId the target
 * @param running attempts running there through the owner
 * @param queued attempts that wait at the owner
 * @param expectedFill the share of the target's memory expected to be in use, 0 for empty, 1 for
 *     full, more when overcommitted
 * @param tokenGapMs the recent time between tokens, in milliseconds; 0 where unknown
 */
public record TargetHint(
    String targetId, int running, int queued, double expectedFill, double tokenGapMs) {

  /** Checks the parts. */
  public TargetHint {
    Check.hasText(targetId, "targetId");
    Check.inRange(running, 0, Integer.MAX_VALUE, "running");
    Check.inRange(queued, 0, Integer.MAX_VALUE, "queued");
  }
}
