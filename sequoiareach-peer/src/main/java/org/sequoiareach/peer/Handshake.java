package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * First frame in each direction of a connection. It is encoded as a map, to which fields may be
 * added, so that every version of the protocol can read it.
 *
 * @param minVersion the lowest protocol version that the sender supports
 * @param maxVersion the highest protocol version that the sender supports
 * @param daemonId the identity of the sender
 * @param incarnation the sender's incarnation, greater after each start
 * @param zone the sender's availability zone
 * @param number the number that the sender gave this connection; it increases with each connection
 *     that the sender opens or accepts
 * @param answer {@link Answer#NONE} from the opening side, otherwise the decision of the accepting
 *     side
 */
record Handshake(
    int minVersion,
    int maxVersion,
    String daemonId,
    long incarnation,
    String zone,
    long number,
    Answer answer) {

  /** Validates the components. */
  Handshake {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(zone, "zone");
    Check.notNull(answer, "answer");
    Check.isTrue(
        minVersion <= maxVersion,
        "'minVersion' is " + minVersion + " and must not exceed 'maxVersion', " + maxVersion + ".");
  }

  /** Decision of the accepting side. */
  enum Answer {
    /** No decision: the frame was sent by the opening side. */
    NONE,
    /** The connection is established. */
    ACCEPTED,
    /** Another connection between the same daemons exists or is being opened. */
    DUPLICATE,
    /** A connection of a later incarnation of the opening daemon exists. */
    OUTDATED,
    /** The supported protocol versions do not overlap. */
    VERSION_MISMATCH
  }

  /**
   * Checks whether both sides support a common protocol version.
   *
   * @param other the handshake of the other side
   * @return true if the version ranges overlap
   */
  boolean overlaps(Handshake other) {
    return minVersion <= other.maxVersion && other.minVersion <= maxVersion;
  }

  /**
   * Copies this handshake with another answer.
   *
   * @param decided the answer
   * @return the copy
   */
  Handshake withAnswer(Answer decided) {
    return new Handshake(minVersion, maxVersion, daemonId, incarnation, zone, number, decided);
  }
}
