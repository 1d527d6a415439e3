package org.sequoiareach.client.command;

/** Names the exit codes of the client. */
public enum ExitCode {
  /** The command did what it was asked. */
  OK(0),
  /** The input was refused, or part of the answer is missing. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** Another version of the sheet is in force than the one exported on. */
  CONFLICT(3),
  /** The key-value service, or every daemon, could not be reached. */
  UNREACHABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /**
   * Returns the code that the process exits with.
   *
   * @return the code
   */
  public int code() {
    return code;
  }
}
