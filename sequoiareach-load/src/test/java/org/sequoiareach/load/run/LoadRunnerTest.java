package org.sequoiareach.load.run;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.check.FaultKind;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.run.FaultInjectingServer.Fault;
import org.sequoiareach.load.settings.RequestClass;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.standin.server.RawServer;

class LoadRunnerTest {

  private static final RequestClass QUOTE = TestSettings.quote(true, ResumeSettings.NEVER);

  @Test
  void finishesAllRequestsWithoutFaults() throws InterruptedException {
    RunReport report = run(Fault.NONE, QUOTE, TestSettings.booking());

    assertThat(report.violations()).isEmpty();
    assertThat(report.total().finished()).isEqualTo(40).isEqualTo(report.offered());
    assertThat(report.unended()).isZero();
    assertThat(report.classes()).containsOnlyKeys("booking", "quote");
    assertThat(report.total().tokens()).isPositive();
  }

  static Stream<Arguments> faults() {
    return Stream.of(
        arguments(Fault.CROSSED, QUOTE, FaultKind.CROSSED_ANSWER),
        arguments(Fault.CROSSED, TestSettings.booking(), FaultKind.CROSSED_ANSWER),
        arguments(Fault.SPLICED, QUOTE, FaultKind.SPLICED_GENERATIONS),
        arguments(Fault.CUT_SHORT, QUOTE, FaultKind.INCOMPLETE_ANSWER),
        arguments(Fault.PIECE_WITHOUT_ID, QUOTE, FaultKind.MALFORMED),
        arguments(Fault.UNKNOWN_LINE, QUOTE, FaultKind.MALFORMED),
        arguments(Fault.ID_WITH_SIGN, QUOTE, FaultKind.MALFORMED),
        arguments(Fault.ID_REPEATED, QUOTE, FaultKind.MALFORMED),
        arguments(Fault.NOT_RUN_BUT_RAN, QUOTE, FaultKind.NOT_RUN_BUT_RAN),
        arguments(Fault.RUNS_TWICE, TestSettings.booking(), FaultKind.RAN_MORE_THAN_ONCE));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void detectsInjectedFault(Fault fault, RequestClass requestClass, FaultKind kind)
      throws InterruptedException {
    RunReport report = run(fault, requestClass);

    assertThat(report.violations())
        .hasSizeGreaterThanOrEqualTo(report.offered())
        .anyMatch(violation -> violation.fault().kind() == kind);
  }

  @Test
  void reportsReasonOfErrorEvent() throws InterruptedException {
    RunReport report = run(Fault.ERROR_EVENT, QUOTE);

    assertThat(report.violations()).isEmpty();
    assertThat(report.total().failed()).isEqualTo(report.offered());
    assertThat(report.total().reasons()).containsOnlyKeys("failed: target-failed");
  }

  @Test
  void endsAfterDrainTimeIfServerHangs() throws InterruptedException {
    try (FaultInjectingServer server = new FaultInjectingServer(Fault.SILENT);
        LoadRunner runner = new LoadRunner()) {
      RunSettings settings =
          new RunSettings(
              "silent",
              1,
              1,
              0,
              200,
              10,
              400,
              200,
              List.of(server.address()),
              Targets.NONE,
              TestSettings.run(1, 1, List.of("http://a"), Targets.NONE, QUOTE).arrivals(),
              List.of(TestSettings.SHOP),
              List.of(QUOTE));

      RunReport report = RunReport.of(runner.run(settings));

      assertThat(report.unended()).isEqualTo(report.offered()).isPositive();
      assertThat(report.violations()).isEmpty();
    }
  }

  @Test
  void checksButDoesNotMeasureWarmUp() throws InterruptedException {
    try (FaultInjectingServer server = new FaultInjectingServer(Fault.CROSSED);
        LoadRunner runner = new LoadRunner()) {
      RunSettings base = settings(List.of(server.address()), Targets.NONE, QUOTE);
      RunSettings settings =
          new RunSettings(
              base.name(),
              base.seed(),
              base.loadFactor(),
              base.durationMs(),
              base.durationMs(),
              base.maxRequests(),
              base.drainMs(),
              base.stallThresholdMs(),
              base.callers(),
              base.targets(),
              base.arrivals(),
              base.organisations(),
              base.classes());

      RunReport report = RunReport.of(runner.run(settings));

      assertThat(report.offered()).isZero();
      assertThat(report.total().requests()).isZero();
      assertThat(report.violations()).isNotEmpty();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Trouble\r\nContent-Length: 0",
        "HTTP/1.1 0200 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nContent-Length X: 0",
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nSequoiareach-Verdict X: not-run",
      })
  void countsMalformedResponseAsFailure(String head) throws Exception {
    try (RawServer server = new RawServer();
        LoadRunner runner = new LoadRunner()) {
      CompletableFuture.runAsync(() -> answerAll(server, head + "\r\n\r\n"));
      List<String> callers = List.of("http://" + server.address());

      RunReport report =
          RunReport.of(runner.run(settings(callers, Targets.NONE, QUOTE, TestSettings.booking())));

      assertThat(report.total().finished()).isZero();
      assertThat(report.total().reasons()).containsOnlyKeys("failed: malformed-response");
      assertThat(report.violations()).isEmpty();
    }
  }

  private static void answerAll(RawServer server, String answer) {
    try {
      while (true) {
        RawServer.Connection connection = server.accept();
        connection.awaitReceived("\r\n\r\n");
        connection.send(answer);
      }
    } catch (InterruptedException | IllegalStateException e) {
      // The test has ended.
    }
  }

  @Test
  void reportsTargetsWithoutRecord() throws InterruptedException {
    try (FaultInjectingServer server = new FaultInjectingServer(Fault.NONE);
        LoadRunner runner = new LoadRunner()) {
      Targets targets = new Targets(List.of("http://127.0.0.1:1"), List.of());
      List<String> callers = List.of(server.address());

      RunReport report = RunReport.of(runner.run(settings(callers, targets, QUOTE)));

      assertThat(report.missingRecords()).containsExactly("http://127.0.0.1:1");
      assertThat(report.violations()).isEmpty();
    }
  }

  private static RunReport run(Fault fault, RequestClass... classes) throws InterruptedException {
    try (FaultInjectingServer server = new FaultInjectingServer(fault);
        LoadRunner runner = new LoadRunner()) {
      List<String> addresses = List.of(server.address());
      Targets targets = new Targets(addresses, addresses);
      return RunReport.of(runner.run(settings(addresses, targets, classes)));
    }
  }

  private static RunSettings settings(
      List<String> callers, Targets targets, RequestClass... classes) {
    return TestSettings.run(5, 1, callers, targets, classes);
  }
}
