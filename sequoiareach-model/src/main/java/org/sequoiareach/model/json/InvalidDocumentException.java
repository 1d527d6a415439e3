package org.sequoiareach.model.json;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a document violates its schema. The message lists all invalid fields, one per line.
 */
public final class InvalidDocumentException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private final transient List<FieldError> errors;

  /**
   * Creates the exception.
   *
   * @param errors the validation errors, at least one
   */
  public InvalidDocumentException(List<FieldError> errors) {
    super(errors.stream().map(FieldError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  /**
   * Returns the validation errors.
   *
   * @return the errors, at least one
   */
  public List<FieldError> errors() {
    return errors;
  }
}
