package org.sequoiareach.model.json;

/**
 * Validation error of one field of a document.
 *
 * @param path the location of the field, such as {@code /models/0/name}; empty for the whole
 *     document
 * @param value the invalid value, possibly truncated; empty if there is none
 * @param expected a description of the error or of the expected value
 */
public record FieldError(String path, String value, String expected) {

  @Override
  public String toString() {
    String location = path.isEmpty() ? "document" : path;
    return value.isEmpty()
        ? location + ": " + expected
        : location + " = " + value + ": " + expected;
  }
}
