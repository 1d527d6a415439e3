package org.sequoiareach.client.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.sequoiareach.model.json.Json;

/** Writes values as indented JSON. */
public final class JsonText {

  private JsonText() {}

  /**
   * Writes a value.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String of(Object value) {
    try {
      return Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
