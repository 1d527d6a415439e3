package org.sequoiareach.daemon;

/** The version of the program. */
final class ProgramVersion {

  static final String VERSION = "0.1.0";

  private ProgramVersion() {}
}
