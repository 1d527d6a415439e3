package org.sequoiareach.model.json;

/**
 * Describes one wrong field of a document.
 *
 * @param path the JSON path of the field; empty for the whole document
 * @param value the value found, shortened; empty where there is none
 * @param expected what is wrong or what was expected
 */
public record FieldError(String path, String value, String expected) {

  @Override
  public String toString() {
    String where = path.isEmpty() ? "document" : path;
    return value.isEmpty() ? where + ": " + expected : where + " = " + value + ": " + expected;
  }
}
