package org.sequoiareach.load.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.standin.engine.EngineSettings;
import org.sequoiareach.standin.engine.EngineStandin;
import org.sequoiareach.standin.engine.MemorySettings;
import org.sequoiareach.standin.engine.StepSettings;
import org.sequoiareach.standin.server.Addresses;
import org.sequoiareach.standin.service.ServiceSettings;
import org.sequoiareach.standin.service.ServiceStandin;

class StandinLoadTest {

  private static final StepSettings STEPS = new StepSettings(8, 0.01, 0, 0, 512, 16);

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void finishesAllRequestsOnEngineAndServiceStandins(boolean stream) throws InterruptedException {
    RunReport report =
        run(1_000, TestSettings.quote(stream, ResumeSettings.NEVER), TestSettings.booking());

    assertThat(report.violations()).isEmpty();
    assertThat(report.total().finished()).isEqualTo(report.offered()).isPositive();
    assertThat(report.total().preemptions()).isZero();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4})
  void resumesDroppedStreamsWithoutRepeatingGenerations(int afterTokens)
      throws InterruptedException {
    RunReport report =
        run(1_000, TestSettings.quote(true, new ResumeSettings(1, afterTokens, false)));

    assertThat(report.violations()).isEmpty();
    assertThat(report.total().finished()).isEqualTo(report.offered()).isPositive();
    assertThat(report.total().repeatedGenerations()).isZero();
  }

  @ParameterizedTest
  @ValueSource(ints = 24)
  void countsPreemptionsOfEngineWithLittleMemory(int memoryBlocks) throws InterruptedException {
    RunReport report = run(memoryBlocks, TestSettings.quote(true, ResumeSettings.NEVER));

    assertThat(report.violations()).isEmpty();
    assertThat(report.total().preemptions()).isPositive();
  }

  private static RunReport run(int memoryBlocks, RequestClass... classes)
      throws InterruptedException {
    EngineSettings settings =
        EngineSettings.of("e1", "model-a")
            .withSteps(STEPS)
            .withMemory(new MemorySettings(memoryBlocks, 8));
    try (EngineStandin engine = new EngineStandin(settings);
        ServiceStandin service =
            new ServiceStandin(new ServiceSettings("127.0.0.1:0", "dispatch"));
        LoadRunner runner = new LoadRunner()) {
      String engineAddress = "http://" + Addresses.format(engine.start());
      String serviceAddress = "http://" + Addresses.format(service.start());
      boolean calls = classes.length > 1;
      List<String> callers = List.of(engineAddress, engineAddress);
      Targets targets = new Targets(List.of(engineAddress), List.of(serviceAddress));
      RequestClass[] addressed = classes.clone();
      if (calls) {
        addressed[1] = TestSettings.bookingAt(serviceAddress);
      }
      return RunReport.of(runner.run(TestSettings.run(9, 1, callers, targets, addressed)));
    }
  }
}
