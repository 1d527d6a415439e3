package org.sequoiareach.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.json.Json;

/** Tests the API for callers end to end: two daemons and stand-in targets over real connections. */
class DaemonEndToEndTest {

  private static final Pattern COMPLETION_ID = Pattern.compile("\"id\":\"(chatcmpl-[^\"]+)\"");
  private static final int TIMEOUT_MS = 10_000;
  private static final String VERDICT_HEADER = "Sequoiareach-Verdict";

  private static LocalDeployment deployment;
  private static Daemon first;
  private static Daemon second;

  @BeforeAll
  static void start() {
    deployment = new LocalDeployment(2);
    first = deployment.startDaemon("d1");
    second = deployment.startDaemon("d2");
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 200})
  void streamsEveryTokenOnceInOrder(int tokens) {
    HttpResponse<String> answer =
        deployment.complete(first, LocalDeployment.KEY, tokens, true).join();
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.headers().firstValue(VERDICT_HEADER)).contains("ran");
    assertThat(CompletionStreams.contents(answer.body()))
        .isEqualTo(CompletionStreams.expectedContents("m", 1, tokens));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
  }

  @Test
  void returnsCompleteAnswer() throws Exception {
    HttpResponse<String> answer = deployment.complete(first, LocalDeployment.KEY, 12, false).join();
    JsonNode body = Json.mapper().readTree(answer.body());
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(body.at("/choices/0/message/content").asText())
        .isEqualTo(String.join("", CompletionStreams.expectedContents("m", 1, 12)));
    assertThat(body.at("/usage/completion_tokens").asInt()).isEqualTo(12);
  }

  @Test
  void resumesSameGenerationThroughAnotherDaemon() {
    String stream = deployment.complete(first, LocalDeployment.KEY, 30, true).join().body();
    HttpResponse<String> rest = resume(second, LocalDeployment.KEY, findId(stream), "20");
    assertThat(rest.statusCode()).isEqualTo(200);
    assertThat(CompletionStreams.contents(rest.body()))
        .isEqualTo(CompletionStreams.expectedContents("m", 21, 30));
    assertThat(findId(rest.body())).isEqualTo(findId(stream));
  }

  @Test
  void hidesCompletionsFromAnotherOrganisation() {
    String stream = deployment.complete(first, LocalDeployment.KEY, 5, true).join().body();
    HttpResponse<String> other = resume(second, LocalDeployment.OTHER_KEY, findId(stream), "0");
    HttpResponse<String> none = resume(second, LocalDeployment.OTHER_KEY, "chatcmpl-e1.x.y", "0");
    assertThat(other.statusCode()).isEqualTo(404);
    assertThat(other.body()).isEqualTo(none.body());
    assertThat(cancel(second, LocalDeployment.OTHER_KEY, findId(stream)).statusCode())
        .isEqualTo(404);
  }

  /** Guards against a promise of not run for a generation of which tokens were received. */
  @Test
  void completionThatIsNotFoundIsNotReportedAsNotRun() {
    HttpResponse<String> none = resume(second, LocalDeployment.KEY, "chatcmpl-e1.x.y", "0");
    assertThat(none.statusCode()).isEqualTo(404);
    assertThat(none.headers().firstValue(VERDICT_HEADER)).contains("may-have-run");
  }

  @Test
  void cancelsThroughAnotherDaemon() {
    String stream = deployment.complete(first, LocalDeployment.KEY, 5, true).join().body();
    assertThat(cancel(second, LocalDeployment.KEY, findId(stream)).statusCode()).isIn(204, 404);
  }

  @Test
  void listsModelsOfOrganisation() {
    HttpRequest request = deployment.request(first, LocalDeployment.KEY, "/v1/models").build();
    assertThat(deployment.send(request).join().body()).contains("\"id\":\"contract-70b\"");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "sk-wrong|{}|401|unknown-key",
        "sk-test|{|400|bad-request",
        "sk-test|[]|400|bad-request",
        "sk-test|{\"model\":\"contract-70b\"}|400|bad-request",
        "sk-test|{\"model\":7,\"messages\":[{\"role\":\"user\"}]}|400|bad-request",
        "sk-test|{\"model\":\"none\",\"messages\":[{\"role\":\"user\"}]}|404|not-found",
      })
  void rejectsInvalidRequestsWithOpenAiError(String key, String body, int status, String code)
      throws Exception {
    HttpRequest request =
        deployment
            .request(first, key, "/v1/chat/completions")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> answer = deployment.send(request).join();
    JsonNode error = Json.mapper().readTree(answer.body()).path("error");
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(error.path("code").asText()).isEqualTo(code);
    assertThat(answer.headers().firstValue(VERDICT_HEADER)).contains("not-run");
  }

  @ParameterizedTest
  @CsvSource({
    "GET,/services/dispatch/bookings/7,200",
    "POST,/services/dispatch/bookings,400",
    "DELETE,/services/dispatch/bookings/7,404",
    "GET,/services/none/x,404",
  })
  void routesServiceCallsAccordingToOperation(String method, String path, int status) {
    HttpRequest request =
        deployment
            .request(first, LocalDeployment.KEY, path)
            .method(method, HttpRequest.BodyPublishers.noBody())
            .build();
    assertThat(deployment.send(request).join().statusCode()).isEqualTo(status);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Y: 1",
        "X-A : 1",
        "X-A\t: 1",
        "X\u0001A: 1",
        ": 1",
        "no colon",
        "Content-Length X: 5",
        "Transfer-Encoding X: chunked",
      })
  void rejectsRequestWithMalformedField(String field) throws Exception {
    String head = " HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n";

    assertThat(exchange(first.operatorAddress(), "GET /readyz" + head)).startsWith("HTTP/1.1 400 ");
    assertThat(exchange(first.callerAddress(), "GET /v1/models" + head))
        .startsWith("HTTP/1.1 400 ");
  }

  private static String exchange(InetSocketAddress address, String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static HttpResponse<String> resume(Daemon daemon, String key, String id, String after) {
    return deployment
        .send(
            deployment
                .request(daemon, key, "/v1/chat/completions/" + id)
                .header("Last-Event-ID", after)
                .build())
        .join();
  }

  private static HttpResponse<String> cancel(Daemon daemon, String key, String id) {
    return deployment
        .send(deployment.request(daemon, key, "/v1/chat/completions/" + id).DELETE().build())
        .join();
  }

  private static String findId(String stream) {
    Matcher matcher = COMPLETION_ID.matcher(stream);
    assertThat(matcher.find()).as("completion ID in %s", stream).isTrue();
    List<String> ids =
        COMPLETION_ID.matcher(stream).results().map(found -> found.group(1)).toList();
    assertThat(ids).as("the same completion ID in all chunks").containsOnly(matcher.group(1));
    return matcher.group(1);
  }
}
