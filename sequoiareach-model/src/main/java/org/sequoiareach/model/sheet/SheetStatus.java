package org.sequoiareach.model.sheet;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Sheet that a daemon holds, and when it was last confirmed to be the current sheet.
 *
 * @param sheet the version and digest of the sheet
 * @param settled whether the sheet was confirmed to be the current sheet at least once since the
 *     daemon started
 * @param confirmedAgeMs the time since the last confirmation, in milliseconds; empty if there is no
 *     valid confirmation
 */
public record SheetStatus(SheetDigest sheet, boolean settled, OptionalLong confirmedAgeMs) {

  /** The status of a daemon that has just started. */
  public static final SheetStatus UNKNOWN =
      new SheetStatus(SheetDigest.NONE, false, OptionalLong.empty());

  /** Validates the components. */
  public SheetStatus {
    Check.notNull(sheet, "sheet");
    Check.notNull(confirmedAgeMs, "confirmedAgeMs");
    Check.inRange(confirmedAgeMs.orElse(0), 0, Long.MAX_VALUE, "confirmedAgeMs");
  }
}
