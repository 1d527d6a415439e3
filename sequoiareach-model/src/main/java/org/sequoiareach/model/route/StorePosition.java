package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * Position in the history of a store that may be restored from an older copy.
 *
 * <p>A restore takes revisions back and gives them out again, but starts a new era. A position
 * combines both in one number, so that positions of a later era are always greater.
 */
public final class StorePosition {

  private static final int REVISION_BITS = 42;
  private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
  private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

  private StorePosition() {}

  /**
   * Combines an era and a revision.
   *
   * @param era the number of restores of the store
   * @param revision the revision within the era
   * @return the position
   * @throws IllegalArgumentException if a number is negative or too large
   */
  public static long of(long era, long revision) {
    Check.inRange(era, 0, MAX_ERA, "era");
    Check.inRange(revision, 0, MAX_REVISION, "revision");
    return era << REVISION_BITS | revision;
  }

  /**
   * Returns the era of a position.
   *
   * @param position the position
   * @return the number of restores of the store
   */
  public static long eraOf(long position) {
    return position >> REVISION_BITS;
  }

  /**
   * Returns the revision of a position.
   *
   * @param position the position
   * @return the revision within its era
   */
  public static long revisionOf(long position) {
    return position & MAX_REVISION;
  }

  /**
   * Formats a position for a log.
   *
   * @param position the position
   * @return the era and the revision
   */
  public static String format(long position) {
    return "era " + eraOf(position) + " revision " + revisionOf(position);
  }
}
