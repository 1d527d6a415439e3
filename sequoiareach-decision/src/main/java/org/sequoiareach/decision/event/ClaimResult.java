package org.sequoiareach.decision.event;

/** Result of claiming an idempotency key. */
public enum ClaimResult {
  /** The key is claimed by this request exclusively. */
  CLAIMED,
  /** An earlier call holds the key and is still in progress or has an unknown outcome. */
  HELD_BY_OTHER,
  /** An earlier call with the key has finished. */
  FINISHED_BY_OTHER,
  /** The key-value service did not answer in time; nothing was sent to a target. */
  UNAVAILABLE
}
