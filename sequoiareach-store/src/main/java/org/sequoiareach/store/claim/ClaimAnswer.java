package org.sequoiareach.store.claim;

/** Names the answers to a claim. */
public enum ClaimAnswer {
  /** The key is claimed by the author and no other. */
  CLAIMED,
  /** An earlier author holds the key and its outcome is unknown or still open. */
  HELD_BY_OTHER,
  /** An earlier author's call has finished. */
  FINISHED_BY_OTHER,
  /** The key-value service did not answer in time. */
  UNAVAILABLE
}
