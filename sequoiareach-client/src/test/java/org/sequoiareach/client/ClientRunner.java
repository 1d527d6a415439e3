package org.sequoiareach.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.sequoiareach.client.command.ExitCode;

/** Runs client command lines in the test process with a generated settings file. */
final class ClientRunner {

  private final Path directory;
  private final Path settings;

  ClientRunner(Path directory, String keyValueAddress, String... operators) {
    this.directory = directory;
    String daemons =
        String.join(
            ",",
            Arrays.stream(operators)
                .map(at -> "{\"id\":\"d" + at.hashCode() + "\",\"operators\":\"" + at + "\"}")
                .toList());
    this.settings =
        write(
            "client-" + String.join("-", operators).replace(':', '_') + ".json",
            "{\"keyValueService\":{\"addresses\":[\""
                + keyValueAddress
                + "\"]},\"callTimeoutMs\":3000,\"daemons\":["
                + daemons
                + "]}");
  }

  /** The exit code and the output of a run. */
  record Run(ExitCode code, String out, String err) {}

  Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a command line with the settings file appended. */
  Run run(String... args) {
    return runWithoutSettings(
        Stream.concat(Arrays.stream(args), Stream.of("--settings", settings.toString()))
            .toArray(String[]::new));
  }

  static Run runWithoutSettings(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    ExitCode code =
        new ClientProgram(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8))
            .run(args);
    return new Run(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
