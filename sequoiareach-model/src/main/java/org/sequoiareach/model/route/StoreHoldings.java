package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * What a daemon holds of the store: which routing sheet, and the targets up to which position.
 *
 * @param sheetVersion the version of the sheet; 0 for none
 * @param sheetRevision the position, see {@link StorePosition}, of the sheet; 0 for none
 * @param targetsRevision the position up to which the targets are complete; 0 for none
 */
public record StoreHoldings(long sheetVersion, long sheetRevision, long targetsRevision) {

  /** The holdings of a daemon that has read nothing. */
  public static final StoreHoldings NONE = new StoreHoldings(0, 0, 0);

  /** Validates the components. */
  public StoreHoldings {
    Check.inRange(sheetRevision, 0, Long.MAX_VALUE, "sheetRevision");
    Check.inRange(targetsRevision, 0, Long.MAX_VALUE, "targetsRevision");
  }

  /**
   * Returns whether the sheet is newer than that of other holdings. The version decides, as a
   * restored store returns an older sheet at a later position.
   *
   * @param other the other holdings
   * @return true if it is newer
   */
  public boolean hasNewerSheetThan(StoreHoldings other) {
    return sheetVersion > other.sheetVersion
        || sheetVersion == other.sheetVersion && sheetRevision > other.sheetRevision;
  }

  /**
   * Returns whether the targets are newer than those of other holdings.
   *
   * @param other the other holdings
   * @return true if they are newer
   */
  public boolean hasNewerTargetsThan(StoreHoldings other) {
    return targetsRevision > other.targetsRevision;
  }

  /**
   * Returns whether nothing of other holdings is newer.
   *
   * @param other the other holdings
   * @return true if these holdings are at least as new
   */
  public boolean covers(StoreHoldings other) {
    return !other.hasNewerSheetThan(this) && !other.hasNewerTargetsThan(this);
  }
}
