package org.sequoiareach.client.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.sequoiareach.model.json.Json;

/** Serializes values as indented JSON. */
public final class JsonText {

  private JsonText() {}

  /**
   * Serializes a value.
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
