package org.sequoiareach.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiareach.model.json.JsonSchemaChecker;

/** Reads and checks the daemon's settings file. */
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
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is wrong; it names
   *     every wrong field
   */
  public static DaemonSettings read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Reads settings from a text.
   *
   * @param text the JSON text
   * @return the settings
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is wrong
   */
  public static DaemonSettings parse(String text) {
    return SCHEMA.read(text, DaemonSettings.class);
  }
}
