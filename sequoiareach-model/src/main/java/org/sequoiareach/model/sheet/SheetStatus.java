package org.sequoiareach.model.sheet;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * Tells which sheet a daemon holds and how far it can vouch for it.
 *
 * @param sheet the sheet held
 * @param settled whether the sheet was confirmed to be in force at some time since the daemon
 *     started
 * @param confirmedAgeMs how long ago it was last confirmed; empty where that no longer counts
 */
public record SheetStatus(SheetDigest sheet, boolean settled, OptionalLong confirmedAgeMs) {

  /** The status of a daemon that has just started. */
  public static final SheetStatus UNKNOWN =
      new SheetStatus(SheetDigest.NONE, false, OptionalLong.empty());

  /** Checks the parts. */
  public SheetStatus {
    Check.notNull(sheet, "sheet");
    Check.notNull(confirmedAgeMs, "confirmedAgeMs");
    Check.isTrue(confirmedAgeMs.orElse(0) >= 0, "'confirmedAgeMs' must not be negative.");
  }
}
