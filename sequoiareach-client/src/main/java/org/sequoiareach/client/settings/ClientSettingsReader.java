package org.sequoiareach.client.settings;

import org.sequoiareach.model.json.JsonSchemaChecker;

/** Checks and reads the client's settings. */
public final class ClientSettingsReader {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.load(ClientSettingsReader.class, "client-settings.schema.json");

  private ClientSettingsReader() {}

  /**
   * Reads settings from a text.
   *
   * @param text the JSON text
   * @return the settings
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is wrong; it names
   *     every wrong field
   */
  public static ClientSettings parse(String text) {
    return SCHEMA.read(text, ClientSettings.class);
  }
}
