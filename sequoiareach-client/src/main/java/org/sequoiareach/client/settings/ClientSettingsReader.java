package org.sequoiareach.client.settings;

import org.sequoiareach.model.json.JsonSchemaChecker;

/** Reads the client settings and validates them against their JSON schema. */
public final class ClientSettingsReader {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.load(ClientSettingsReader.class, "client-settings.schema.json");

  private ClientSettingsReader() {}

  /**
   * Reads settings from JSON.
   *
   * @param text the JSON text
   * @return the settings
   * @throws org.sequoiareach.model.json.InvalidDocumentException if any field is invalid; reports
   *     all invalid fields
   */
  public static ClientSettings parse(String text) {
    return SCHEMA.read(text, ClientSettings.class);
  }
}
