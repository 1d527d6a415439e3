package org.sequoiareach.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiareach.model.json.JsonSchemaChecker;

/** Reads the settings of a daemon and validates them against the JSON schema. */
public final class DaemonSettingsReader {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.load(DaemonSettingsReader.class, "daemon-settings.schema.json");

  private DaemonSettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws IOException if the file cannot be read
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is invalid; the
   *     message names every invalid field
   */
  public static DaemonSettings read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Reads settings from JSON text.
   *
   * @param text the JSON text
   * @return the settings
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is invalid
   */
  public static DaemonSettings parse(String text) {
    return SCHEMA.read(text, DaemonSettings.class);
  }
}
