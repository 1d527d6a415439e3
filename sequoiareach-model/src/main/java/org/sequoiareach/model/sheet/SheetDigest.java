package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Version and digest that identify the sheet that a daemon holds.
 *
 * @param version the version; 0 if the daemon has no sheet
 * @param digest the digest of the {@link SheetManifest}; 0 if the daemon has no sheet
 */
public record SheetDigest(long version, long digest) {

  /** The digest of a daemon without a sheet. */
  public static final SheetDigest NONE = new SheetDigest(0, 0);

  /** Validates the components. */
  public SheetDigest {
    Check.inRange(version, 0, Long.MAX_VALUE, "version");
  }
}
