package org.sequoiareach.peer;

import org.sequoiareach.model.Check;

/**
 * Is the first frame in each direction of a connection. Its form is the same in every version of
 * the protocol: a map, to which fields may be added.
 *
 * @param minVersion the lowest version of the protocol that the sender speaks
 * @param maxVersion the highest version of the protocol that the sender speaks
 * @param daemonId the sender
 * @param incarnation the sender's incarnation, greater after each start
 * @param zone the sender's availability zone
 * @param number the sender's count of connections, which orders those it opened or accepted
 * @param answer {@link Answer#NONE} from the side that opens, else what was decided
 */
record Handshake(
    int minVersion,
    int maxVersion,
    String daemonId,
    long incarnation,
    String zone,
    long number,
    Answer answer) {

  /** Checks the parts. */
  Handshake {
    Check.hasText(daemonId, "daemonId");
    Check.hasText(zone, "zone");
    Check.notNull(answer, "answer");
    Check.isTrue(minVersion <= maxVersion, "'minVersion' must not exceed 'maxVersion'.");
  }

  /** Says what the accepting side decided. */
  enum Answer {
    /** Nothing yet: this is the opening frame. */
    NONE,
    /** The connection stands. */
    ACCEPTED,
    /** Another connection of the same pair stands or is about to. */
    DUPLICATE,
    /** A later incarnation of the opening daemon is known. */
    OUTDATED,
    /** The version ranges do not overlap. */
    VERSION_MISMATCH
  }

  /**
   * Tells whether some version is spoken by both sides.
   *
   * @param other the other side
   * @return true if the ranges overlap
   */
  boolean overlaps(Handshake other) {
    return minVersion <= other.maxVersion && other.minVersion <= maxVersion;
  }

  /**
   * Copies this handshake as an answer.
   *
   * @param decided the answer
   * @return the copy
   */
  Handshake withAnswer(Answer decided) {
    return new Handshake(minVersion, maxVersion, daemonId, incarnation, zone, number, decided);
  }
}
