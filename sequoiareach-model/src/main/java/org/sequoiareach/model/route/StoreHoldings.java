package org.sequoiareach.model.route;

import org.sequoiareach.model.Check;

/**
 * What a daemon holds of the store: which routing sheet, and the targets and the zones in
 * maintenance up to which positions.
 *
 * @param sheetVersion the version of the sheet; 0 for none
 * @param sheetRevision the position, see {@link StorePosition}, of the sheet; 0 for none
 * @param targetsRevision the position up to which the targets are complete; 0 for none
 * @param maintenanceRevision the position up to which the zones in maintenance are complete; 0 for
 *     none
 */
public record StoreHoldings(
    long sheetVersion, long sheetRevision, long targetsRevision, Long maintenanceRevision) {

  /** The holdings of a daemon that has read nothing. */
  public static final StoreHoldings NONE = new StoreHoldings(0, 0, 0, 0L);

  /** Validates the components; an earlier version of a daemon does not send the last one. */
  public StoreHoldings {
    maintenanceRevision = maintenanceRevision == null ? 0L : maintenanceRevision;
    Check.inRange(sheetRevision, 0, Long.MAX_VALUE, "sheetRevision");
    Check.inRange(targetsRevision, 0, Long.MAX_VALUE, "targetsRevision");
    Check.inRange(maintenanceRevision, 0, Long.MAX_VALUE, "maintenanceRevision");
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
    return !other.hasNewerSheetThan(this)
        && !other.hasNewerTargetsThan(this)
        && maintenanceRevision >= other.maintenanceRevision;
  }
}
