package org.sequoiareach.client.command;

/** The result of a command, printed as text or, with {@code --json}, serialized as JSON. */
public interface CommandResult {

  /**
   * Returns the human-readable text.
   *
   * @return one or more lines, without a line break at the end
   */
  String text();

  /**
   * Returns the exit code of the process.
   *
   * @return the exit code
   */
  default ExitCode exitCode() {
    return ExitCode.OK;
  }
}
