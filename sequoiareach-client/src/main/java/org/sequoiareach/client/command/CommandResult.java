package org.sequoiareach.client.command;

/** Is what a command found, shown as text to people and as JSON to programs. */
public interface CommandResult {

  /**
   * Returns the form for people.
   *
   * @return one or more lines, without a line break at the end
   */
  String text();

  /**
   * Returns the code to exit with.
   *
   * @return the code
   */
  default ExitCode exitCode() {
    return ExitCode.OK;
  }
}
