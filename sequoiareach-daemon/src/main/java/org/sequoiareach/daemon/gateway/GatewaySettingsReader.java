package org.sequoiareach.daemon.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiareach.model.json.Json;

/** Reads {@link GatewaySettings} from JSON. */
public final class GatewaySettingsReader {

  private GatewaySettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the JSON file
   * @return the settings
   * @throws IOException if the file cannot be read
   * @throws IllegalArgumentException if the JSON is malformed or a field is invalid; the message
   *     names the field and its value
   */
  public static GatewaySettings read(Path file) throws IOException {
    return parse(Files.readString(file));
  }

  /**
   * Parses settings.
   *
   * @param text the JSON text
   * @return the settings
   * @throws IllegalArgumentException if the JSON is malformed or a field is invalid; the message
   *     names the field and its value
   */
  public static GatewaySettings parse(String text) {
    try {
      return Json.mapper().readValue(text, GatewaySettings.class);
    } catch (JsonMappingException e) {
      throw new IllegalArgumentException(describe(e), e);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "The settings are not valid JSON: " + e.getOriginalMessage(), e);
    }
  }

  private static String describe(JsonMappingException e) {
    Throwable cause = e.getCause();
    if (cause instanceof IllegalArgumentException) {
      return cause.getMessage();
    }
    return "'" + e.getPathReference() + "': " + e.getOriginalMessage();
  }
}
