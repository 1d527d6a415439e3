package org.sequoiareach.load;

/** Lists the exit codes of the program. */
final class ExitCodes {

  /** The command was carried out and no promise was broken. */
  static final int OK = 0;

  /** The command was carried out and a promise was broken. */
  static final int VIOLATIONS = 1;

  /** The command line or the settings are wrong. */
  static final int USAGE = 2;

  /** A file could not be read or written, or the run was interrupted. */
  static final int FAILED = 3;

  private ExitCodes() {}
}
