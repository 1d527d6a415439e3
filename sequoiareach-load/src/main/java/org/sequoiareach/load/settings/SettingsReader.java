package org.sequoiareach.load.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiareach.model.json.InvalidDocumentException;
import org.sequoiareach.model.json.JsonSchemaChecker;

/**
 * Reads settings files and validates them against a JSON schema, reporting every invalid field at
 * once. Immutable and thread-safe.
 */
public final class SettingsReader {

  private final JsonSchemaChecker runChecker =
      JsonSchemaChecker.load(SettingsReader.class, "run.schema.json");
  private final JsonSchemaChecker compareChecker =
      JsonSchemaChecker.load(SettingsReader.class, "compare.schema.json");

  /**
   * Reads the settings of a run.
   *
   * @param file the settings file
   * @return the settings
   * @throws IOException if the file cannot be read
   * @throws InvalidDocumentException if fields are invalid
   */
  public RunSettings readRun(Path file) throws IOException {
    return runChecker.read(Files.readString(file), RunSettings.class);
  }

  /**
   * Reads the settings of a comparison.
   *
   * @param file the settings file
   * @return the settings
   * @throws IOException if the file cannot be read
   * @throws InvalidDocumentException if fields are invalid
   */
  public CompareSettings readCompare(Path file) throws IOException {
    return compareChecker.read(Files.readString(file), CompareSettings.class);
  }
}
