package org.sequoiareach.standin.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.sequoiareach.model.json.Json;

/** Reads settings from JSON files. */
final class SettingsFile {

  private SettingsFile() {}

  /**
   * Reads settings from a file; unknown fields are errors.
   *
   * @throws IllegalArgumentException if the file cannot be read or a field is invalid; the message
   *     names the file and the field
   */
  static <T> T read(Path file, Class<T> type) {
    try {
      return Json.mapper()
          .readerFor(type)
          .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .readValue(Files.readString(file));
    } catch (JsonMappingException e) {
      String fieldPath =
          e.getPath().stream()
              .map(step -> step.getFieldName() == null ? "" + step.getIndex() : step.getFieldName())
              .collect(Collectors.joining("/", "/", ""));
      throw new IllegalArgumentException(
          file + ": " + fieldPath + ": " + e.getOriginalMessage(), e);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          file + ": line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage(), e);
    }
  }
}
