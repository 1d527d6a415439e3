package org.sequoiareach.model.platform;

/** State of a daemon as seen by another daemon's failure detector. */
public enum MemberState {
  /** The daemon answers probes and accepts requests. */
  ALIVE,
  /** The daemon answers probes but has announced that it is about to stop. */
  LEAVING,
  /** The daemon did not answer a probe and has not yet refuted the suspicion. */
  SUSPECT,
  /** The daemon is considered stopped. */
  DEAD
}
