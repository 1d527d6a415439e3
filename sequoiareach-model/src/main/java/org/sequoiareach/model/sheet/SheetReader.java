package org.sequoiareach.model.sheet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sequoiareach.model.json.FieldError;
import org.sequoiareach.model.json.InvalidDocumentException;
import org.sequoiareach.model.json.JsonSchemaChecker;

/**
 * Parses the JSON form of a sheet, validates it against the schema and checks for duplicate and
 * undefined names. Thread-safe.
 */
public final class SheetReader {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.load(SheetReader.class, "sheet.schema.json");

  private SheetReader() {}

  /**
   * Parses and validates a sheet.
   *
   * @param text the JSON text
   * @return the sheet
   * @throws InvalidDocumentException if any field is invalid; it lists all invalid fields
   */
  public static Sheet read(String text) {
    Sheet sheet = SCHEMA.read(text, Sheet.class);
    List<FieldError> errors = findNameErrors(sheet);
    if (!errors.isEmpty()) {
      throw new InvalidDocumentException(errors);
    }
    return sheet;
  }

  private static List<FieldError> findNameErrors(Sheet sheet) {
    List<FieldError> errors = new ArrayList<>();
    Set<String> models = new HashSet<>();
    Set<String> services = new HashSet<>();
    Set<String> organisations = new HashSet<>();
    Set<String> digests = new HashSet<>();
    for (int i = 0; i < sheet.models().size(); i++) {
      requireUnique(models, sheet.models().get(i).name(), "/models/" + i + "/name", errors);
    }
    for (int i = 0; i < sheet.services().size(); i++) {
      requireUnique(services, sheet.services().get(i).name(), "/services/" + i + "/name", errors);
    }
    for (int i = 0; i < sheet.organisations().size(); i++) {
      OrganisationEntry organisation = sheet.organisations().get(i);
      String path = "/organisations/" + i;
      requireUnique(organisations, organisation.id(), path + "/id", errors);
      for (int k = 0; k < organisation.keyDigests().size(); k++) {
        String keyPath = path + "/keyDigests/" + k;
        requireUnique(digests, organisation.keyDigests().get(k), keyPath, errors);
      }
      requireDefined(models, organisation.models(), path + "/models", errors);
      requireDefined(services, organisation.services(), path + "/services", errors);
    }
    return errors;
  }

  private static void requireUnique(
      Set<String> seen, String name, String path, List<FieldError> errors) {
    if (!seen.add(name)) {
      errors.add(new FieldError(path, name, "must be unique in the sheet"));
    }
  }

  private static void requireDefined(
      Set<String> defined, List<String> names, String path, List<FieldError> errors) {
    for (int i = 0; i < names.size(); i++) {
      if (!defined.contains(names.get(i))) {
        errors.add(new FieldError(path + "/" + i, names.get(i), "is not defined in this sheet"));
      }
    }
  }
}
