package org.sequoiareach.model.json;

import java.util.List;
import java.util.stream.Collectors;

/** Reports that a document breaks its schema, naming every wrong field. */
public final class InvalidDocumentException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private final transient List<FieldError> errors;

  /**
   * Creates the exception.
   *
   * @param errors the wrong fields, at least one
   */
  public InvalidDocumentException(List<FieldError> errors) {
    super(errors.stream().map(FieldError::toString).collect(Collectors.joining("\n")));
    this.errors = List.copyOf(errors);
  }

  /**
   * Returns the wrong fields.
   *
   * @return at least one error
   */
  public List<FieldError> errors() {
    return errors;
  }
}
