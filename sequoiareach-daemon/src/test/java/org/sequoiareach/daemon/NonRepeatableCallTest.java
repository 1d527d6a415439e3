package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.kv.KvFaults;
import org.sequoiareach.standin.service.ServiceFaults;

/**
 * Tests that service calls which are not repeatable run at most once per idempotency key, whatever
 * fails.
 */
class NonRepeatableCallTest {

  private static final String VERDICT = "Sequoiareach-Verdict";

  private static LocalDeployment deployment;
  private static Daemon first;
  private static Daemon second;

  @BeforeAll
  static void start() {
    deployment = new LocalDeployment(0);
    first = deployment.startDaemon("d1");
    second = deployment.startDaemon("d2");
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @BeforeEach
  void clearFaults() {
    deployment.keyValues.setFaults(KvFaults.NONE);
    deployment.service.setFaults(ServiceFaults.NONE);
  }

  @Test
  void runsOnceWhenDaemonsRaceForSameKey() {
    List<CompletableFuture<HttpResponse<String>>> racing =
        IntStream.range(0, 20)
            .mapToObj(
                i -> deployment.book(i % 2 == 0 ? first : second, LocalDeployment.KEY, "race"))
            .toList();
    List<Integer> statuses = racing.stream().map(answer -> answer.join().statusCode()).toList();
    assertThat(statuses).containsOnlyOnce(200);
    assertThat(statuses.stream().filter(status -> status != 200)).containsOnly(409);
    assertThat(runs("race")).isEqualTo(1);
  }

  @Test
  void reportsMayHaveRunAndDoesNotRetryIfTheAnswerIsLost() {
    deployment.service.setFaults(new ServiceFaults(0, 1, 0, 0, 0));
    HttpResponse<String> lost = deployment.book(first, LocalDeployment.KEY, "lost").join();
    HttpResponse<String> again = deployment.book(second, LocalDeployment.KEY, "lost").join();
    assertThat(lost.headers().firstValue(VERDICT)).contains("may-have-run");
    assertThat(again.headers().firstValue(VERDICT)).contains("may-have-run");
    assertThat(runs("lost")).isEqualTo(1);
  }

  @Test
  void refusesAsNotRunWhileKeyValueServiceIsDown() {
    deployment.keyValues.setFaults(new KvFaults(true, 0, 0, 0, false));
    HttpResponse<String> refused = deployment.book(first, LocalDeployment.KEY, "away").join();
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue(VERDICT)).contains("not-run");
    assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    assertThat(runs("away")).isZero();
    deployment.keyValues.setFaults(KvFaults.NONE);
    LocalDeployment.await(
        "the key can be claimed again",
        () -> deployment.book(second, LocalDeployment.KEY, "away").join().statusCode() == 200);
    assertThat(runs("away")).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void recognisesOwnClaimAfterLostAnswerToWrite(int lostAnswers) {
    deployment.keyValues.setFaults(new KvFaults(false, 0, lostAnswers, 0, false));
    String key = "own-" + lostAnswers;
    HttpResponse<String> answer = deployment.book(first, LocalDeployment.KEY, key).join();
    assertThat(answer.statusCode()).isIn(200, 503);
    assertThat(runs(key)).isEqualTo(answer.statusCode() == 200 ? 1 : 0);
  }

  /** Guards against taking the status of a service for a statement that the call did not run. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void statusOfServiceThatRanTheCallIsNoRefusal(int status) {
    deployment.service.setFaults(new ServiceFaults(0, 0, 0, 0, status));
    String key = "ran-" + status;
    HttpResponse<String> answer = deployment.book(first, LocalDeployment.KEY, key).join();
    HttpResponse<String> again = deployment.book(second, LocalDeployment.KEY, key).join();
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(answer.headers().firstValue(VERDICT)).contains("ran");
    assertThat(again.statusCode()).isEqualTo(409);
    assertThat(again.headers().firstValue(VERDICT)).contains("may-have-run");
    assertThat(runs(key)).isEqualTo(1);
  }

  @Test
  void separatesKeysOfDifferentOrganisations() {
    assertThat(deployment.book(first, LocalDeployment.KEY, "shared").join().statusCode())
        .isEqualTo(200);
    assertThat(deployment.book(second, LocalDeployment.OTHER_KEY, "shared").join().statusCode())
        .isEqualTo(200);
  }

  private static long runs(String idempotencyKey) {
    return deployment.service.record().runsByKey().getOrDefault(idempotencyKey, 0L);
  }
}
