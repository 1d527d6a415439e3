package org.sequoiareach.model.sheet;

import org.sequoiareach.model.Check;

/**
 * Identifies the sheet that a daemon holds without its content.
 *
 * @param version the version; 0 where the daemon holds none
 * @param digest the digest of the manifest, see {@link SheetManifest}; 0 where there is none
 */
public record SheetDigest(long version, long digest) {

  /** The digest of a daemon that holds no sheet. */
  public static final SheetDigest NONE = new SheetDigest(0, 0);

  /** Checks the parts. */
  public SheetDigest {
    Check.inRange(version, 0, Long.MAX_VALUE, "version");
  }
}
