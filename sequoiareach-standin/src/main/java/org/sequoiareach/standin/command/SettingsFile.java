package org.sequoiareach.standin.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.sequoiareach.model.json.Json;

/** Reads settings files. */
final class SettingsFile {

  private SettingsFile() {}

  /**
   * Reads a file as settings; unknown members are errors.
   *
   * @throws IllegalArgumentException if the file cannot be read or a member is wrong; the message
   *     names the member
   */
  static <T> T read(Path file, Class<T> type) {
    try {
      return Json.mapper()
          .readerFor(type)
          .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .readValue(Files.readString(file));
    } catch (JsonMappingException e) {
      String where =
          e.getPath().stream()
              .map(step -> step.getFieldName() == null ? "" + step.getIndex() : step.getFieldName())
              .collect(Collectors.joining("/", "/", ""));
      throw new IllegalArgumentException(file + ": " + where + ": " + e.getOriginalMessage(), e);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          file + ": line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage(), e);
    }
  }
}
