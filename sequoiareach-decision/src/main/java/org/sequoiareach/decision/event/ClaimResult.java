package org.sequoiareach.decision.event;

/** Names the answers to a claim of an idempotency key. */
public enum ClaimResult {
  /** The key is now claimed by this attempt and no other. */
  CLAIMED,
  /** An earlier call holds the key; its outcome is unknown or still open. */
  HELD_BY_OTHER,
  /** An earlier call with the key has finished. */
  FINISHED_BY_OTHER,
  /** The key-value service has not answered in time; nothing was sent to a target. */
  UNAVAILABLE
}
