package org.sequoiareach.store.claim;

/** The possible answers to a claim. */
public enum ClaimAnswer {
  /** The author, and no other, holds the key. */
  CLAIMED,
  /** Another author holds the key; its call is in progress or its outcome is unknown. */
  HELD_BY_OTHER,
  /** Another author held the key and its call has finished. */
  FINISHED_BY_OTHER,
  /** The claim could not be resolved before its deadline. */
  UNAVAILABLE
}
