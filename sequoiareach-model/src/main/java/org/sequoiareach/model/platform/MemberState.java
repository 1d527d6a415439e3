package org.sequoiareach.model.platform;

/** Names what one daemon believes of another. */
public enum MemberState {
  /** Answers probes and takes work. */
  ALIVE,
  /** Answers probes but announced that it is about to stop. */
  LEAVING,
  /** Did not answer a probe and has not yet refuted the suspicion. */
  SUSPECT,
  /** Is believed to have stopped. */
  DEAD
}
