package org.sequoiareach.load.compare;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.settings.CompareSettings;
import org.sequoiareach.load.settings.PolicyDeployment;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.standin.engine.EngineSettings;
import org.sequoiareach.standin.engine.EngineStandin;
import org.sequoiareach.standin.engine.MemorySettings;
import org.sequoiareach.standin.engine.StepSettings;
import org.sequoiareach.standin.server.Addresses;

class PolicyComparisonTest {

  private static final StepSettings STEPS = new StepSettings(8, 0.01, 0, 0, 512, 16);

  @TempDir private Path directory;

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void comparesTwoPoliciesOnSameTraces(boolean simultaneous)
      throws IOException, InterruptedException {
    try (EngineStandin roomy = engine("roomy", 1_000);
        EngineStandin tight = engine("tight", 24)) {
      PolicyDeployment first = policy("roomy", roomy);
      PolicyDeployment second = policy("tight", tight);
      CompareSettings settings =
          new CompareSettings(
              "two engines",
              "unused",
              List.of(0.5, 1.0),
              List.of(1L, 2L),
              simultaneous,
              0,
              List.of(first, second));

      ComparisonReport report =
          new PolicyComparison(settings, load(), discardingStream()).execute();
      ComparisonWriter.write(report, directory);

      assertThat(report.runs()).hasSize(8);
      assertThat(report.violations()).isZero();
      assertThat(report.summaries())
          .extracting(PolicySummary::policy)
          .containsExactly("roomy", "tight", "roomy", "tight");
      assertThat(report.summaries().get(2).offered())
          .isEqualTo(report.summaries().get(3).offered());
      assertThat(report.summaries().get(2).preemptions()).isZero();
      assertThat(report.summaries().get(3).preemptions()).isPositive();
      assertThat(Files.readString(directory.resolve("report.md"))).contains("| 1.00 | tight | 2 |");
      assertThat(directory.resolve("report.json")).isNotEmptyFile();
      for (Measure measure : Measure.values()) {
        assertThat(directory.resolve(measure.fileName())).isNotEmptyFile();
      }
    }
  }

  private static EngineStandin engine(String id, int blocks) {
    return new EngineStandin(
        EngineSettings.of(id, "model-a")
            .withSteps(STEPS)
            .withMemory(new MemorySettings(blocks, 8)));
  }

  private static PolicyDeployment policy(String name, EngineStandin engine) {
    List<String> address = List.of("http://" + Addresses.format(engine.start()));
    return new PolicyDeployment(name, address, new Targets(address, List.of()));
  }

  private static RunSettings load() {
    return TestSettings.run(
        1,
        1,
        List.of("http://unused"),
        Targets.NONE,
        TestSettings.quote(true, ResumeSettings.NEVER));
  }

  private static PrintStream discardingStream() {
    return new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
  }
}
