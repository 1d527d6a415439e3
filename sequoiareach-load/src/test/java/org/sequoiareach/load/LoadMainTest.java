package org.sequoiareach.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class LoadMainTest {

  private static final String RUN =
      """
      {"name": "small", "seed": 3, "durationMs": 1000, "maxRequests": 10,
       "arrivals": {"ratePerSecond": 5},
       "organisations": [{"name": "shop", "apiKey": "k", "weight": 1}],
       "classes": [
         {"kind": "call", "name": "book", "weight": 1, "method": "POST", "path": "/b",
          "repeatable": false, "deadlineMs": 1000}]}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  static Stream<Arguments> commandLines() {
    return Stream.of(
        arguments("--help", ExitCodes.OK),
        arguments("--version", ExitCodes.OK),
        arguments("run --help", ExitCodes.OK),
        arguments("compare --help", ExitCodes.OK),
        arguments("run", ExitCodes.USAGE),
        arguments("fly", ExitCodes.USAGE),
        arguments("", ExitCodes.USAGE),
        arguments("run --settings no-such-file.json", ExitCodes.FAILED));
  }

  @ParameterizedTest
  @MethodSource("commandLines")
  void returnsExitCodeForCommandLine(String line, int code) {
    assertThat(execute(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(code);
    assertThat(code == ExitCodes.OK ? out.toString() : err.toString()).isNotBlank();
  }

  @Test
  void validatesRunSettings() throws IOException {
    String file = write("run.json", RUN);

    assertThat(execute("run", "--settings", file, "--check-settings")).isEqualTo(ExitCodes.OK);
  }

  @Test
  void validatesSettingsOfComparisonAndRun() throws IOException {
    write("run.json", RUN);
    String file =
        write(
            "compare.json",
            """
            {"name": "c", "run": "run.json", "loadFactors": [1], "seeds": [1],
             "policies": [{"name": "p", "callers": ["http://127.0.0.1:1"]}]}
            """);

    assertThat(execute("compare", "--settings", file, "--check-settings")).isEqualTo(ExitCodes.OK);
  }

  @ParameterizedTest
  @ValueSource(strings = {"--load-factor 0.5", "--class nothing", "--class book"})
  void rejectsRunWithoutCallersOrWithUnknownClass(String options) throws IOException {
    String line = "run --settings " + write("run.json", RUN) + " " + options;

    assertThat(execute(line.split(" "))).isEqualTo(ExitCodes.USAGE);
    assertThat(err.toString()).containsIgnoringCase("class");
  }

  private int execute(String... args) {
    return LoadMain.execute(args, new PrintStream(out), new PrintStream(err));
  }

  private String write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text, StandardCharsets.UTF_8).toString();
  }
}
