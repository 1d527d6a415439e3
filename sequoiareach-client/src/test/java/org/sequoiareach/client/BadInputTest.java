package org.sequoiareach.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoiareach.client.command.ExitCode;

/**
 * Fuzzes the commands that read files: damaged input must be rejected without an unexpected error.
 */
class BadInputTest {

  private static final Path SAMPLE = Path.of("..", "dist", "conf", "sample-sheet.json");
  private static final String PLAN =
      "organisation,key_digest,priority,model,model_version,context_tokens,"
          + "prompt_tokens_per_day,completion_tokens_per_day,concurrent_requests,"
          + "requests_per_second,services\n"
          + "techos-brno,sha256:"
          + "0".repeat(64)
          + ",5,contract-70b,v1,32768,100,200,10,20,\n";

  /** Replaces a range of a text. */
  record Damage(int at, int length, String by) {

    String applyTo(String text) {
      int from = Math.floorMod(at, text.length());
      int to = Math.min(text.length(), from + length);
      return text.substring(0, from) + by + text.substring(to);
    }
  }

  @Property(tries = 150, seed = "20261203")
  void damagedSheetIsRejectedOrStillValid(@ForAll("damages") Damage damage) throws IOException {
    check(damage.applyTo(Files.readString(SAMPLE)), "sheet", "check");
  }

  @Property(tries = 150, seed = "20261203")
  void damagedPlanIsRejectedOrStillValid(@ForAll("damages") Damage damage) throws IOException {
    Path out = Files.createTempDirectory("plan").resolve("sheet.json");
    check(damage.applyTo(PLAN), "sheet", "import", "--out", out.toString());
    Files.deleteIfExists(out);
    Files.delete(out.getParent());
  }

  @Property(tries = 100, seed = "20261203")
  void arbitraryBytesCauseNoUnexpectedError(@ForAll byte[] bytes) throws IOException {
    check(new String(bytes, StandardCharsets.ISO_8859_1), "sheet", "check");
  }

  private static void check(String text, String... command) throws IOException {
    Path file = Files.createTempFile("input", ".txt");
    try {
      Files.writeString(file, text);
      String[] args = Arrays.copyOf(command, command.length + 1);
      args[command.length] = file.toString();
      ClientRunner.Run run = ClientRunner.runWithoutSettings(args);
      assertThat(run.code()).isIn(ExitCode.OK, ExitCode.FAILED);
      assertThat(run.err()).doesNotContain("Unexpected error: ");
      assertThat(run.code() == ExitCode.OK).isEqualTo(run.err().isEmpty());
    } finally {
      Files.delete(file);
    }
  }

  @Provide
  Arbitrary<Damage> damages() {
    Arbitrary<String> by =
        Arbitraries.oneOf(
            Arbitraries.of("", "\"", "{", "}", ",", "null", "-1", "1e400", "\u0000", "[[[[", "\n"),
            Arbitraries.strings().ofMaxLength(20));
    return Combinators.combine(
            Arbitraries.integers().between(0, 3_000), Arbitraries.integers().between(0, 40), by)
        .as(Damage::new);
  }
}
