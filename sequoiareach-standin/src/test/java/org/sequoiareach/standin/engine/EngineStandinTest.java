package org.sequoiareach.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.standin.server.Exchanges;
import org.sequoiareach.standin.server.TestHttpClient;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineStandinTest {

  private static final String PATH = "/v1/chat/completions";
  private static final StepSettings FAST = new StepSettings(1, 0, 0, 0, 512, 8);

  private final EngineStandin engine =
      new EngineStandin(
          EngineSettings.of("e1", "m")
              .withSteps(FAST)
              .withReports(new ReportSettings(0, 0, 0))
              .withLifecycle(new LifecycleSettings(4, 60_000, 60_000, true)));
  private TestHttpClient client;

  @BeforeEach
  void start() {
    client = new TestHttpClient(engine.start());
  }

  @AfterEach
  void close() {
    engine.close();
  }

  @Test
  void streamsEveryTokenOnce() throws Exception {
    List<String> lines = stream("r1", 5);
    assertThat(contents(lines)).containsExactly("x:1 ", "x:2 ", "x:3 ", "x:4 ", "x:5 ", "");
    assertThat(lines.stream().filter(line -> line.startsWith("id:")))
        .containsExactly("id: 1", "id: 2", "id: 3", "id: 4", "id: 5", "id: 6");
    JsonNode last = parseEvents(lines).get(5);
    assertThat(last.at("/choices/0/finish_reason").asText()).isEqualTo("stop");
    assertThat(last.at("/usage/completion_tokens").asInt()).isEqualTo(5);
    assertThat(lines).contains("data: [DONE]");
  }

  @Test
  void returnsWholeCompletion() throws Exception {
    JsonNode answer = Exchanges.parse(post("r1", 3, false).body());
    assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo("x:1 x:2 x:3 ");
    assertThat(answer.path("id").asText()).isEqualTo("chatcmpl-r1");
  }

  @Test
  void rejectsDuplicateId() throws Exception {
    post("r1", 3, false);
    assertThat(post("r1", 3, false).statusCode()).isEqualTo(409);
    assertThat(engine.record().generations().get("chatcmpl-r1").timesCreated()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2, 4, 5, 6})
  void resumesStreamAfterLastEventId(int lastId) throws Exception {
    stream("r1", 5);
    List<String> lines =
        client.lines("GET", PATH + "/chatcmpl-r1", "", "Last-Event-ID", "" + lastId).toList();
    assertThat(lines.stream().filter(line -> line.startsWith("id:")))
        .containsExactlyElementsOf(
            IntStream.rangeClosed(lastId + 1, 6).mapToObj(n -> "id: " + n).toList());
    assertThat(lines).contains("data: [DONE]");
  }

  @Test
  void continuesGenerationAfterConnectionLoss() throws Exception {
    client.setFaults("{\"dropConnectionAfterTokens\":3}");
    assertThatThrownBy(() -> stream("r1", 6)).hasRootCauseInstanceOf(IOException.class);
    List<String> rest =
        client.lines("GET", PATH + "/chatcmpl-r1", "", "Last-Event-ID", "3").toList();
    assertThat(contents(rest)).containsExactly("x:4 ", "x:5 ", "x:6 ", "");
  }

  @Test
  void cancelsStream() throws Exception {
    try (Stream<String> lines =
        client.lines("POST", PATH, body(4_000, true), "X-Request-Id", "r")) {
      Iterator<String> each = lines.iterator();
      each.next();
      assertThat(client.send("DELETE", PATH + "/chatcmpl-r", "").statusCode()).isEqualTo(204);
      assertThatThrownBy(() -> each.forEachRemaining(line -> {}))
          .hasRootCauseInstanceOf(IOException.class);
    }
    assertThat(engine.record().generations().get("chatcmpl-r").state())
        .isEqualTo(GenerationState.CANCELLED);
    assertThat(client.send("GET", PATH + "/chatcmpl-r", "").statusCode()).isEqualTo(404);
    assertThat(client.send("DELETE", PATH + "/chatcmpl-none", "").statusCode()).isEqualTo(404);
  }

  @Test
  void failsOneGenerationBeforeFirstToken() throws Exception {
    client.setFaults("{\"dieBeforeFirstToken\":1}");
    assertThatThrownBy(() -> stream("r1", 3)).hasRootCauseInstanceOf(IOException.class);
    assertThat(engine.record().generations().get("chatcmpl-r1").tokens()).isZero();
    assertThat(contents(stream("r2", 3))).hasSize(4);
  }

  @Test
  void rejectsNewGenerationsWhileLeavingAndClosesConnectionsWhileDown() throws Exception {
    try (Stream<String> lines =
        client.lines("POST", PATH, body(4_000, true), "X-Request-Id", "r")) {
      Iterator<String> each = lines.iterator();
      each.next();
      client.setFaults("{\"leaving\":true}");
      assertThat(post("r2", 3, false).statusCode()).isEqualTo(503);
      assertThat(client.json("GET", "/load", "").path("leaving").asBoolean()).isTrue();
      client.setFaults("{\"down\":true}");
      assertThatThrownBy(() -> each.forEachRemaining(line -> {}))
          .hasRootCauseInstanceOf(IOException.class);
    }
    assertThat(client.send("GET", "/healthz", "").statusCode()).isEqualTo(503);
    assertThatThrownBy(() -> post("r3", 3, false)).isInstanceOf(IOException.class);
    client.setFaults("{}");
    assertThat(post("r3", 3, false).statusCode()).isEqualTo(200);
  }

  @Test
  void rejectsOrderWithOutdatedFencingToken() throws Exception {
    assertThat(order(5).statusCode()).isEqualTo(200);
    assertThat(order(4).statusCode()).isEqualTo(409);
    assertThat(order(5).statusCode()).isEqualTo(200);
    assertThat(engine.load().models()).containsExactly("m", "m2");
  }

  @Test
  void publishesCacheEvents() throws Exception {
    try (Stream<String> lines = client.lines("GET", "/cache-events", "")) {
      String prompt = "user\n" + "abcd".repeat(40) + "\n";
      String body = body(2, false).replace("hello", "abcd".repeat(40));
      client.send("POST", PATH, body, "X-Request-Id", "r1");
      String first = lines.filter(line -> line.startsWith("data:")).findFirst().orElseThrow();
      JsonNode event = Exchanges.parse(first.substring(5));
      assertThat(event.path("seq").asLong()).isEqualTo(1);
      assertThat(event.at("/stored/0").asText())
          .isEqualTo(PromptBlocks.digests("m", prompt, 16).get(0));
    }
  }

  @Test
  void neitherLosesNorRepeatsTokensAcrossPreemptions() throws Exception {
    try (EngineStandin small =
        new EngineStandin(
            EngineSettings.of("e2", "m").withSteps(FAST).withMemory(new MemorySettings(12, 4)))) {
      TestHttpClient smallClient = new TestHttpClient(small.start());
      smallClient.setFaults("{\"stalledMs\":1000000}");
      List<Stream<String>> streams = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        streams.add(smallClient.lines("POST", PATH, body(30, true), "X-Request-Id", "r" + i));
      }
      smallClient.setFaults("{}");
      List<String> expected =
          Stream.concat(IntStream.rangeClosed(1, 30).mapToObj(n -> "x:" + n + " "), Stream.of(""))
              .toList();
      for (Stream<String> lines : streams) {
        assertThat(contents(lines.toList())).isEqualTo(expected);
      }
      assertThat(small.record().preemptions()).isPositive();
    }
  }

  private HttpResponse<String> order(long fence) throws Exception {
    String body = "{\"order\":\"load-model\",\"model\":\"m2\",\"fence\":" + fence + "}";
    return client.send("POST", "/orders", body);
  }

  private List<String> stream(String id, int tokens) throws Exception {
    return client.lines("POST", PATH, body(tokens, true), "X-Request-Id", id).toList();
  }

  private HttpResponse<String> post(String id, int tokens, boolean stream) throws Exception {
    return client.send("POST", PATH, body(tokens, stream), "X-Request-Id", id);
  }

  private static String body(int tokens, boolean stream) {
    String form =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
            + "\"stream\":%s,\"metadata\":{\"marker\":\"x\",\"answer_tokens\":\"%d\"}}";
    return form.formatted(stream, tokens);
  }

  private static List<JsonNode> parseEvents(List<String> lines) {
    List<JsonNode> found = new ArrayList<>();
    lines.stream()
        .filter(line -> line.startsWith("data: {"))
        .forEach(line -> found.add(Exchanges.parse(line.substring(6))));
    return found;
  }

  private static List<String> contents(List<String> lines) {
    return parseEvents(lines).stream()
        .map(data -> data.at("/choices/0/delta/content").asText(""))
        .toList();
  }
}
