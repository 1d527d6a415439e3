package org.sequoiareach.client.command;

/** The exit codes of the client. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The input was rejected, or the result is incomplete. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The current sheet is not the base version of the export. */
  CONFLICT(3),
  /** The key-value service, or every daemon, was unreachable. */
  UNREACHABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return the code
   */
  public int code() {
    return code;
  }
}
