package org.sequoiareach.model.platform;

import org.sequoiareach.model.Check;

/**
 * Load of one target as seen by its owner, sent to other daemons along with answers.
 *
 * @param targetId the identity of the target
 * @param running the number of attempts that run on the target through the owner
 * @param queued the number of attempts that wait at the owner
 * @param expectedFill the expected fraction of the target's memory in use, from 0 (empty) to 1
 *     (full), greater if overcommitted
 * @param tokenGapMs the recent time between tokens, in milliseconds; 0 if unknown
 */
public record TargetHint(
    String targetId, int running, int queued, double expectedFill, double tokenGapMs) {

  /** Validates the components. */
  public TargetHint {
    Check.hasText(targetId, "targetId");
    Check.inRange(running, 0, Integer.MAX_VALUE, "running");
    Check.inRange(queued, 0, Integer.MAX_VALUE, "queued");
  }
}
