package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.engine.EngineFaults;
import org.sequoiareach.standin.engine.GenerationRecord;
import org.sequoiareach.standin.engine.GenerationState;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests that engine faults and cancellations never mix, repeat or lose tokens of an answer. */
class GenerationFaultTest {

  private static final String VERDICT_HEADER = "Sequoiareach-Verdict";
  private static final Pattern COMPLETION_ID = Pattern.compile("\"id\":\"(chatcmpl-[^\"]+)\"");

  private static LocalDeployment deployment;
  private static Daemon first;
  private static Daemon second;

  @BeforeAll
  static void start() {
    deployment = new LocalDeployment(3);
    first = deployment.startDaemon("d1");
    second = deployment.startDaemon("d2");
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @BeforeEach
  void clearFaults() {
    deployment.setEngineFaults(EngineFaults.NONE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"d1", "d2"})
  void answersFromAnotherEngineWhenOneDiesBeforeFirstToken(String daemonId) {
    Daemon daemon = daemonId.equals("d1") ? first : second;
    deployment.engines.get("e1").setFaults(dieBeforeFirstToken());
    deployment.engines.get("e2").setFaults(dieBeforeFirstToken());
    List<CompletableFuture<HttpResponse<String>>> answers =
        IntStream.range(0, 12)
            .mapToObj(i -> deployment.stream(daemon, "early-" + daemonId + i, 9))
            .toList();
    for (int i = 0; i < answers.size(); i++) {
      String marker = "early-" + daemonId + i;
      HttpResponse<String> answer = answers.get(i).join();
      assertThat(CompletionStreams.contents(answer.body()))
          .isEqualTo(CompletionStreams.expectedContents(marker, 1, 9));
      assertThat(answer.body()).endsWith("data: [DONE]\n\n");
      assertThat(states(marker)).containsOnlyOnce(GenerationState.FINISHED);
    }
    assertThat(diedBeforeFirstToken("early-" + daemonId)).isPositive();
  }

  @ParameterizedTest
  @CsvSource({"1,40", "17,40", "39,40"})
  void resumesIfConnectionIsLostAfterSomeTokens(int lostAfter, int tokens) {
    deployment.setEngineFaults(
        new EngineFaults(1, 0, 0, 0, false, lostAfter, OptionalLong.empty(), false, false));
    String marker = "lost-" + lostAfter;
    HttpResponse<String> answer = deployment.stream(first, marker, tokens).join();
    assertThat(CompletionStreams.contents(answer.body()))
        .isEqualTo(CompletionStreams.expectedContents(marker, 1, tokens));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(deployment.generations(marker)).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20})
  void endsStreamWithErrorWhenGenerationDies(int diesAfter) {
    deployment.setEngineFaults(
        new EngineFaults(1, 0, 0, diesAfter, false, 0, OptionalLong.empty(), false, false));
    String marker = "dies-" + diesAfter;
    long startedMs = MonotonicClock.nowMs();
    HttpResponse<String> answer = deployment.stream(first, marker, 500).join();
    assertThat(MonotonicClock.nowMs() - startedMs).isLessThan(2_000);
    assertEndsInError(answer.body(), marker);
    assertThat(CompletionStreams.contents(answer.body())).hasSize(diesAfter);
    // If the only token is lost with its connection, the request is retried on another engine.
    assertThat(deployment.generations(marker)).hasSizeLessThanOrEqualTo(diesAfter == 1 ? 3 : 1);
  }

  @Test
  void endsStreamWithErrorIfEngineFails() {
    CompletableFuture<HttpResponse<String>> answer = deployment.stream(first, "dead", 1_500);
    deployment.awaitTokens("dead", 20);
    long diedMs = MonotonicClock.nowMs();
    deployment.setEngineFaults(
        new EngineFaults(1, 0, 0, 0, false, 0, OptionalLong.empty(), false, true));
    String body = answer.join().body();
    assertThat(MonotonicClock.nowMs() - diedMs).isLessThan(8_000);
    assertEndsInError(body, "dead");
  }

  @Test
  void refusesAsNotRunWhenAllEnginesRefuse() throws Exception {
    deployment.setEngineFaults(
        new EngineFaults(1, 0, 0, 0, true, 0, OptionalLong.empty(), false, false));
    HttpResponse<String> answer = deployment.stream(first, "refused", 10).join();
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue(VERDICT_HEADER)).contains("not-run");
    assertThat(answer.headers().firstValueAsLong("Retry-After")).isPresent();
    assertThat(deployment.generations("refused")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"d1", "d2"})
  void cancelsGenerationOnItsEngine(String daemonId) throws Exception {
    String marker = "cancel-" + daemonId;
    try (BufferedReader stream = deployment.open(first, marker, 2_000)) {
      String id = readId(stream);
      Daemon through = daemonId.equals("d1") ? first : second;
      HttpRequest cancel =
          deployment
              .request(through, LocalDeployment.KEY, "/v1/chat/completions/" + id)
              .DELETE()
              .build();
      assertThat(deployment.send(cancel).join().statusCode()).isEqualTo(204);
      LocalDeployment.await(
          "the generation is cancelled",
          () -> states(marker).equals(List.of(GenerationState.CANCELLED)));
      String rest = String.join("\n", stream.lines().toList());
      assertEndsInError(rest, marker);
    }
  }

  private static String readId(BufferedReader stream) throws IOException {
    for (String line = stream.readLine(); line != null; line = stream.readLine()) {
      Matcher matcher = COMPLETION_ID.matcher(line);
      if (matcher.find()) {
        return matcher.group(1);
      }
    }
    throw new AssertionError("the stream has no completion ID");
  }

  /** Asserts that a stream has consecutive tokens of one generation and then a retryable error. */
  private static void assertEndsInError(String stream, String marker) {
    JsonNode error = CompletionStreams.error(stream);
    final List<String> contents = CompletionStreams.contents(stream);
    assertThat(error.path("verdict").asText()).as(stream).isEqualTo("may-have-run");
    assertThat(error.path("retry_after_ms").asLong()).isPositive();
    assertThat(stream).doesNotContain("[DONE]");
    if (!contents.isEmpty()) {
      int from = Integer.parseInt(contents.get(0).trim().substring(marker.length() + 1));
      assertThat(contents)
          .isEqualTo(CompletionStreams.expectedContents(marker, from, from + contents.size() - 1));
    }
  }

  private static List<GenerationState> states(String marker) {
    return deployment.generations(marker).stream().map(GenerationRecord::state).toList();
  }

  private static EngineFaults dieBeforeFirstToken() {
    return new EngineFaults(1, 0, 1, 0, false, 0, OptionalLong.empty(), false, false);
  }

  private static long diedBeforeFirstToken(String prefix) {
    return deployment.engines.values().stream()
        .flatMap(engine -> engine.record().generations().values().stream())
        .filter(generation -> generation.marker().startsWith(prefix))
        .filter(
            generation -> generation.state() == GenerationState.DIED && generation.tokens() == 0)
        .count();
  }
}
