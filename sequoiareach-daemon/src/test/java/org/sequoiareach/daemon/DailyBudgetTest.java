package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiareach.standin.kv.KvFaults;

/**
 * Tests that all daemons together never exceed the daily token plan of the sheet, and that refused
 * requests are reported as not run.
 */
class DailyBudgetTest {

  private static final int PLANNED_TOKENS = 9_000;
  private static final int ANSWER_TOKENS = 400;

  private LocalDeployment deployment;
  private List<Daemon> daemons;

  @BeforeEach
  void start() {
    deployment = new LocalDeployment(2);
    deployment.export(LocalDeployment.sheet(50, PLANNED_TOKENS));
    daemons = List.of(deployment.startDaemon("d1"), deployment.startDaemon("d2"));
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  @Test
  void staysWithinPlanWhileDaemonsRace() {
    List<CompletableFuture<HttpResponse<String>>> racing =
        IntStream.range(0, 30)
            .mapToObj(i -> deployment.complete(daemon(i), LocalDeployment.KEY, ANSWER_TOKENS, true))
            .toList();
    List<HttpResponse<String>> answers = racing.stream().map(CompletableFuture::join).toList();
    assertThat(generatedTokens()).isBetween((long) ANSWER_TOKENS, (long) PLANNED_TOKENS);
    assertThat(answers).allSatisfy(answer -> assertThat(answer.statusCode()).isIn(200, 429, 503));
    assertThat(answers)
        .filteredOn(answer -> answer.statusCode() != 200)
        .isNotEmpty()
        .allSatisfy(DailyBudgetTest::assertRefusedAsNotRun);
  }

  @Test
  void refusesAsNotRunWhenNoPortionCanBeReserved() {
    deployment.keyValues.setFaults(new KvFaults(true, 0, 0, 0, false));
    HttpResponse<String> answer =
        deployment.complete(daemon(0), LocalDeployment.KEY, ANSWER_TOKENS, true).join();
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("budget-unavailable");
    assertRefusedAsNotRun(answer);
    assertThat(generatedTokens()).isZero();
  }

  @Test
  void continuesWithinOverdraftWhileLedgerIsUnavailable() {
    deployment.export(LocalDeployment.sheet(50, 20L * 2_000 * 4));
    LocalDeployment.await("the new plan is in effect", () -> daemons.get(0).sheetVersion() == 3);
    deployment.keyValues.setFaults(new KvFaults(true, 0, 0, 0, false));
    List<Integer> statuses =
        IntStream.range(0, 12)
            .mapToObj(i -> deployment.complete(daemon(0), LocalDeployment.KEY, ANSWER_TOKENS, true))
            .toList()
            .stream()
            .map(answer -> answer.join().statusCode())
            .toList();
    assertThat(statuses).contains(200).contains(503);
  }

  @Test
  void reservesEachPortionOnceWhenAnswersAreLost() {
    deployment.keyValues.setFaults(new KvFaults(false, 0, 2, 0, false));
    IntStream.range(0, 8)
        .mapToObj(i -> deployment.complete(daemon(i), LocalDeployment.KEY, ANSWER_TOKENS, true))
        .toList()
        .forEach(CompletableFuture::join);
    assertThat(generatedTokens()).isLessThanOrEqualTo(PLANNED_TOKENS);
  }

  private static void assertRefusedAsNotRun(HttpResponse<String> answer) {
    assertThat(answer.headers().firstValue("Sequoiareach-Verdict")).contains("not-run");
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }

  private Daemon daemon(int number) {
    return daemons.get(number % daemons.size());
  }

  private long generatedTokens() {
    return deployment.engines.values().stream()
        .mapToLong(engine -> engine.record().generatedTokens())
        .sum();
  }
}
