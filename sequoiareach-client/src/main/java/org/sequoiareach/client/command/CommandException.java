package org.sequoiareach.client.command;

import java.util.List;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.json.FieldError;

/** Reports that a command failed. */
public final class CommandException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final transient List<FieldError> errors;

  /**
   * Creates the exception.
   *
   * @param exitCode the code to exit with
   * @param message a sentence for the operator
   */
  public CommandException(ExitCode exitCode, String message) {
    this(exitCode, message, List.of());
  }

  /**
   * Creates the exception.
   *
   * @param exitCode the code to exit with
   * @param message a sentence for the operator
   * @param errors every wrong field of the input
   */
  public CommandException(ExitCode exitCode, String message, List<FieldError> errors) {
    super(Check.hasText(message, "message"));
    this.exitCode = Check.notNull(exitCode, "exitCode");
    this.errors = List.copyOf(errors);
  }

  /**
   * Returns the code to exit with.
   *
   * @return the code
   */
  public ExitCode exitCode() {
    return exitCode;
  }

  /**
   * Returns every wrong field of the input.
   *
   * @return the errors; empty where the input is not at fault
   */
  public List<FieldError> errors() {
    return errors;
  }
}
