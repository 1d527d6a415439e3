package org.sequoiareach.standin.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StandinProgramTest {

  private static final Path SAMPLES = Path.of("..", "dist", "conf", "standin");

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final StandinProgram program =
      new StandinProgram(new PrintStream(out, true), new PrintStream(err, true));
  @TempDir private Path directory;

  @AfterEach
  void close() {
    program.close();
  }

  @ParameterizedTest
  @CsvSource({
    "kv, kv.json",
    "vms, vms.json",
    "engine, engines.json",
    "service, service.json",
    "relay, relay.json",
  })
  void acceptsTheSampleSettings(String command, String file) {
    int code =
        program.start(command, "--settings", SAMPLES.resolve(file).toString(), "--check-settings");
    assertThat(err.toString()).isEmpty();
    assertThat(code).isEqualTo(StandinProgram.EXIT_OK);
    assertThat(program.started()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "kv      | {\"listen\":\"127.0.0.1:0\"}                                     | 1",
        "vms     | {\"listen\":\"127.0.0.1:0\"}                                     | 1",
        "service | {\"listen\":\"127.0.0.1:0\",\"name\":\"s\"}                      | 1",
        "relay   | {\"listen\":\"127.0.0.1:0\",\"forward\":\"127.0.0.1:1\"}         | 1",
        "engine  | {\"engines\":[{\"listen\":\"127.0.0.1:0\",\"id\":\"e1\",\"zone\":\"z\","
            + "\"models\":[\"m\"]},{\"listen\":\"127.0.0.1:0\",\"id\":\"e2\",\"zone\":\"z\","
            + "\"models\":[\"m\"]}]} | 2",
      })
  void startsAndPrintsAddresses(String command, String settings, int count) throws IOException {
    assertThat(program.start(command, "--settings", write(settings))).isZero();
    assertThat(program.started()).hasSize(count);
    assertThat(out.toString().lines())
        .hasSize(count)
        .allMatch(line -> line.matches("listening on 127\\.0\\.0\\.1:[1-9]\\d*"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "kv | {\"listen\":\"127.0.0.1:0\",\"writes\":1} | writes",
        "kv | {\"readsPerSecond\":1} | listen",
        "kv     | {\"listen\":\"nowhere\"}                                         | nowhere",
        "vms    | {\"listen\":\"127.0.0.1:0\",\"lagMs\":-1}                         | lagMs",
        "engine | {\"engines\":[]}                                                 | engines",
        "engine | {\"engines\":[{\"id\":3}]}                                       | listen",
        "kv     | {nonsense                                                        | line 1",
        "none   | {}                                                               | none",
      })
  void rejectsInvalidSettings(String command, String settings, String named) throws IOException {
    int code = program.start(command, "--settings", write(settings), "--check-settings");
    assertThat(code).isEqualTo(StandinProgram.EXIT_USAGE);
    assertThat(err.toString()).contains(named);
  }

  @ParameterizedTest
  @CsvSource({"--help, usage", "--version, sequoiareach-standin", "kv --help, --settings"})
  void printsHelpAndVersion(String arguments, String shown) {
    assertThat(program.start(arguments.split(" "))).isZero();
    assertThat(out.toString()).contains(shown);
  }

  @Test
  void requiresSettingsOption() {
    assertThat(program.start("kv")).isEqualTo(StandinProgram.EXIT_USAGE);
    assertThat(err.toString()).contains("--settings");
  }

  private String write(String settings) throws IOException {
    return Files.writeString(directory.resolve("settings.json"), settings).toString();
  }
}
