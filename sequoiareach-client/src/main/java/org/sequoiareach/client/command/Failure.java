package org.sequoiareach.client.command;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sequoiareach.model.json.FieldError;

/**
 * The result of a failed command.
 *
 * @param error the error message
 * @param code the exit code
 * @param errors the invalid fields of the input
 */
public record Failure(String error, ExitCode code, List<FieldError> errors)
    implements CommandResult {

  /** Copies the components. */
  public Failure {
    errors = List.copyOf(errors);
  }

  /**
   * Creates a failure from an exception.
   *
   * @param e the exception
   * @return the failure
   */
  public static Failure of(CommandException e) {
    return new Failure(e.getMessage(), e.exitCode(), e.errors());
  }

  @Override
  public String text() {
    return Stream.concat(
            Stream.of("sequoiareach: " + error), errors.stream().map(field -> "  " + field))
        .collect(Collectors.joining("\n"));
  }

  @Override
  public ExitCode exitCode() {
    return code;
  }
}
