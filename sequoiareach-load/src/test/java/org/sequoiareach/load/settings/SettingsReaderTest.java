package org.sequoiareach.load.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.json.InvalidDocumentException;

class SettingsReaderTest {

  private static final String RUN =
      """
      {"name": "small", "seed": 3, "durationMs": 1000, "maxRequests": 10,
       "callers": ["http://127.0.0.1:8080"], "arrivals": {"ratePerSecond": 5},
       "organisations": [{"name": "shop", "apiKey": "k", "weight": 1}],
       "classes": [
         {"kind": "generation", "name": "tag", "weight": 2, "model": "m", "stream": true,
          "maxTokens": 100, "deadlineMs": 1000, "organisations": ["shop"],
          "promptTokens": {"distribution": "FIXED", "median": 5, "least": 1, "most": 9},
          "answerTokens": {"distribution": "PARETO", "median": 5, "shape": 1.3, "least": 1,
            "most": 90}},
         {"kind": "call", "name": "book", "weight": 1, "method": "POST", "path": "/services/d/b",
          "repeatable": false, "body": {"load": 1}, "deadlineMs": 1000}]}
      """;

  private final SettingsReader reader = new SettingsReader();

  @TempDir private Path directory;

  @Test
  void appliesDefaults() throws IOException {
    RunSettings settings = reader.readRun(write(RUN));

    assertThat(settings.loadFactor()).isEqualTo(1);
    assertThat(settings.stallThresholdMs()).isEqualTo(200);
    assertThat(settings.targets()).isEqualTo(Targets.NONE);
    assertThat(settings.classes()).hasSize(2);
    assertThat(settings.classes().get(0)).isInstanceOf(GenerationClass.class);
    assertThat(((GenerationClass) settings.classes().get(0)).callClass()).isEqualTo("tag");
  }

  @Test
  void reportsAllInvalidFieldsAtOnce() throws IOException {
    Path file =
        write(
            RUN.replace("\"seed\": 3", "\"seed\": \"x\"")
                .replace("\"maxRequests\": 10", "\"maxRequests\": 0")
                .replace("\"repeatable\": false,", "")
                .replace("\"FIXED\"", "\"NORMAL\""));

    assertThatThrownBy(() -> reader.readRun(file))
        .isInstanceOf(InvalidDocumentException.class)
        .hasMessageContaining("/seed")
        .hasMessageContaining("/maxRequests")
        .hasMessageContaining("repeatable")
        .hasMessageContaining("distribution");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "{}", "null"})
  void rejectsDocumentsThatAreNotSettings(String text) throws IOException {
    Path file = write(text);

    assertThatThrownBy(() -> reader.readRun(file)).isInstanceOf(InvalidDocumentException.class);
    assertThatThrownBy(() -> reader.readCompare(file)).isInstanceOf(InvalidDocumentException.class);
  }

  @Test
  void rejectsUnknownOrganisations() throws IOException {
    Path file = write(RUN.replace("[\"shop\"]", "[\"nobody\"]"));

    assertThatThrownBy(() -> reader.readRun(file)).hasMessageContaining("nobody");
  }

  private Path write(String text) throws IOException {
    return Files.writeString(directory.resolve("settings.json"), text);
  }
}
