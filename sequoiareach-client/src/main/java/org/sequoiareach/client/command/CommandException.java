package org.sequoiareach.client.command;

import java.util.List;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.FieldError;

/** Thrown when a command fails. */
public final class CommandException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final transient List<FieldError> errors;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process
   * @param message the message for the operator
   */
  public CommandException(ExitCode exitCode, String message) {
    this(exitCode, message, List.of());
  }

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process
   * @param message the message for the operator
   * @param errors the invalid fields of the input
   */
  public CommandException(ExitCode exitCode, String message, List<FieldError> errors) {
    super(Check.hasText(message, "message"));
    this.exitCode = Check.notNull(exitCode, "exitCode");
    this.errors = List.copyOf(errors);
  }

  /**
   * Returns the exit code of the process.
   *
   * @return the exit code
   */
  public ExitCode exitCode() {
    return exitCode;
  }

  /**
   * Returns the invalid fields of the input.
   *
   * @return the field errors; empty if the input did not cause the failure
   */
  public List<FieldError> errors() {
    return errors;
  }
}
