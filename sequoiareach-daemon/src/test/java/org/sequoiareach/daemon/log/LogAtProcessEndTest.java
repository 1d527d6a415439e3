package org.sequoiareach.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiareach.daemon.gateway.Gateway;

/** Tests, with a process of its own, which lines are on standard output when it has ended. */
class LogAtProcessEndTest {

  private static final long TIMEOUT_MS = 30_000;

  /** More than the burst of decisions that is written. */
  private static final int DECISIONS = 3_000;

  private static final int INCOMPLETE_ANSWERS = 200;

  @TempDir private Path directory;

  @Test
  void keepsLinesOfLifecycleAndIncompleteAnswersBehindFloodOfDecisions() throws Exception {
    List<String> lines = runFlood();

    assertThat(lines.stream().filter(line -> line.contains("\"answer-ended\"")))
        .hasSize(INCOMPLETE_ANSWERS);
    assertThat(lines.stream().filter(line -> line.contains("\"stop\""))).hasSize(1);
    assertThat(lines.stream().filter(line -> line.contains("\"route\"")))
        .as("the decisions are limited")
        .hasSizeLessThan(DECISIONS);
  }

  private List<String> runFlood() throws IOException, InterruptedException {
    Path output = directory.resolve("log");
    String classPath =
        Optional.ofNullable(System.getProperty("surefire.test.class.path"))
            .orElse(System.getProperty("java.class.path"));
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                classPath,
                Flood.class.getName())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    try {
      assertThat(process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(process.exitValue()).isZero();
    } finally {
      process.destroyForcibly();
    }
    return Files.readAllLines(output);
  }

  /** Logs more decisions than are written, then the last lines of a process, and ends it. */
  static final class Flood {

    private Flood() {}

    public static void main(String[] args) {
      DeferredLogging.install();
      DeferredLogging.start();
      write(LogManager.getLogger("decisions"), "route", DECISIONS);
      write(LogManager.getLogger("answers"), "answer-ended", INCOMPLETE_ANSWERS);
      write(LogManager.getLogger(Gateway.class), "stop", 1);
      LogManager.shutdown();
      Runtime.getRuntime().halt(0);
    }

    private static void write(Logger logger, String decision, int count) {
      for (int i = 0; i < count; i++) {
        logger.info(new StringMapMessage().with("decision", decision).with("request", i));
      }
    }
  }
}
