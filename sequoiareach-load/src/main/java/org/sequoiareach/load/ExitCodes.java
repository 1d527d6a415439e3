package org.sequoiareach.load;

/** The exit codes of the program. */
final class ExitCodes {

  /** The command completed and no guarantee was violated. */
  static final int OK = 0;

  /** The command completed and a guarantee was violated. */
  static final int VIOLATIONS = 1;

  /** The command line or the settings are invalid. */
  static final int USAGE = 2;

  /** A file could not be read or written, or the run was interrupted. */
  static final int FAILED = 3;

  private ExitCodes() {}
}
