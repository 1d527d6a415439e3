package org.sequoiareach.standin.kv;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Iterator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.standin.server.Exchanges;
import org.sequoiareach.standin.server.RawServer;
import org.sequoiareach.standin.server.TestHttpClient;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class KvStandinTest {

  private final KvStandin kv = new KvStandin(new KvSettings("127.0.0.1:0"));
  private InetSocketAddress address;
  private TestHttpClient client;

  @BeforeEach
  void start() {
    address = kv.start();
    client = new TestHttpClient(address);
  }

  @AfterEach
  void close() {
    kv.close();
  }

  @Test
  void readsWrittenKeys() throws Exception {
    put("a/1", "x");
    put("a/2", "y");
    put("b", "z");
    JsonNode found =
        client.json(
            "POST", "/v3/kv/range", keyRequest("a/", ",\"range_end\":\"" + b64("a0") + "\""));
    assertThat(found.at("/kvs/0/key").asText()).isEqualTo(b64("a/1"));
    assertThat(found.at("/kvs/1/value").asText()).isEqualTo(b64("y"));
    assertThat(found.at("/count").asText()).isEqualTo("2");
    assertThat(found.at("/kvs/1/mod_revision").isTextual()).isTrue();
    assertThat(found.at("/header/revision").asText()).isEqualTo("4");
  }

  @ParameterizedTest
  @CsvSource({
    "MOD, mod_revision, 0, EQUAL, true",
    "MOD, modRevision, 1, EQUAL, false",
    "CREATE, create_revision, 0, GREATER, false",
    "VERSION, version, 1, LESS, true",
    "VERSION, version, 0, NOT_EQUAL, false",
  })
  void comparesMissingKeyAsZero(
      String target, String member, String operand, String result, boolean holds) throws Exception {
    String compare =
        "{\"target\":\"%s\",\"result\":\"%s\",\"key\":\"%s\",\"%s\":\"%s\"}"
            .formatted(target, result, b64("k"), member, operand);
    String put = "{\"requestPut\":{\"key\":\"%s\",\"value\":\"%s\"}}".formatted(b64("k"), b64("v"));
    String get = "{\"request_range\":{\"key\":\"%s\"}}".formatted(b64("k"));
    JsonNode answer =
        client.json(
            "POST",
            "/v3/kv/txn",
            "{\"compare\":[%s],\"success\":[%s],\"failure\":[%s]}".formatted(compare, put, get));
    assertThat(answer.path("succeeded").asBoolean(false)).isEqualTo(holds);
    assertThat(answer.at("/responses/0").has("response_put")).isEqualTo(holds);
    assertThat(kv.record().keys()).isEqualTo(holds ? 1 : 0);
  }

  @Test
  void deletesKeysWhenLeaseExpires() throws Exception {
    JsonNode granted = client.json("POST", "/v3/lease/grant", "{\"TTL\":\"2\"}");
    String id = granted.path("ID").asText();
    client.json("POST", "/v3/kv/put", keyRequest("k", ",\"lease\":\"" + id + "\""));
    JsonNode kept = client.json("POST", "/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}");
    assertThat(kept.at("/result/TTL").asText()).isEqualTo("2");
    String watch = watch("k", ",\"start_revision\":\"1\"");
    try (Stream<String> lines = client.lines("POST", "/v3/watch", watch)) {
      String last = lines.skip(2).findFirst().orElseThrow();
      JsonNode event = Exchanges.parse(last).at("/result/events/0");
      assertThat(event.path("type").asText()).isEqualTo("DELETE");
    }
    JsonNode late = client.json("POST", "/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}");
    assertThat(late.at("/result").has("TTL")).isFalse();
  }

  @Test
  void watchesFromPastRevision() throws Exception {
    put("k", "1");
    put("k", "2");
    try (var lines = client.lines("POST", "/v3/watch", watch("k", ",\"start_revision\":\"3\""))) {
      Iterator<String> each = lines.iterator();
      assertThat(Exchanges.parse(each.next()).at("/result/created").asBoolean()).isTrue();
      assertThat(Exchanges.parse(each.next()).at("/result/events/0/kv/value").asText())
          .isEqualTo(b64("2"));
      put("k", "3");
      assertThat(Exchanges.parse(each.next()).at("/result/events/0/kv/value").asText())
          .isEqualTo(b64("3"));
      client.setFaults("{\"watchCut\":true}");
      assertThatThrownBy(each::hasNext).hasRootCauseInstanceOf(IOException.class);
    }
  }

  @Test
  void losesResponseAfterWrite() throws Exception {
    kv.setFaults(new KvFaults(false, 0, 1, 0, false));
    assertThatThrownBy(() -> put("k", "1")).isInstanceOf(IOException.class);
    assertThat(kv.record().keys()).isEqualTo(1);
    assertThat(put("k", "2").statusCode()).isEqualTo(200);
    assertThat(kv.record().lostAnswers()).isEqualTo(1);
  }

  @Test
  void closesConnectionWithoutEffectWhenDown() throws Exception {
    client.setFaults("{\"down\":true}");
    assertThatThrownBy(() -> put("k", "1")).isInstanceOf(IOException.class);
    client.setFaults("{}");
    assertThat(kv.record().keys()).isZero();
    assertThat(put("k", "1").statusCode()).isEqualTo(200);
  }

  @Test
  void rejectsRequestsAboveRateLimit() throws Exception {
    kv.setFaults(new KvFaults(false, 0, 0, 1, false));
    assertThat(put("k", "1").statusCode()).isEqualTo(200);
    HttpResponse<String> refused = put("k", "2");
    assertThat(refused.statusCode()).isEqualTo(429);
    assertThat(refused.body()).contains("too many requests");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/v3/kv/put   | {\"key\":\"aw==\",\"lease\":\"9\"} | 404 | requested lease not found",
        "/v3/kv/put   | {\"value\":\"aw==\"} | 400 | key is not provided",
        "/v3/kv/put   | {\"key\":\"???\"} | 400 | not base64",
        "/v3/kv/range | {\"key\":\"aw==\",\"revision\":\"3\"} | 501 | reads at past revisions",
        "/v3/kv/none  | {} | 501 | unknown call",
        "/v3/kv/put   | {nonsense | 400 | not JSON",
      })
  void rejectsInvalidRequests(String path, String body, int status, String message)
      throws Exception {
    HttpResponse<String> answer = client.send("POST", path, body);
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(answer.body()).contains(message);
  }

  @Test
  void acceptsWatchRequestInSeveralChunks() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String head = "POST /v3/watch HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
      String body = watch("k", "");
      String call =
          head + RawServer.chunk(body.substring(0, 9)) + RawServer.chunk(body.substring(9));
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      assertThat(reader.lines().filter(line -> line.contains("created")).findFirst()).isPresent();
    }
  }

  private HttpResponse<String> put(String key, String value)
      throws IOException, InterruptedException {
    return client.send("POST", "/v3/kv/put", keyRequest(key, ",\"value\":\"" + b64(value) + "\""));
  }

  private static String watch(String key, String more) {
    return "{\"create_request\":" + keyRequest(key, more) + "}";
  }

  private static String keyRequest(String key, String more) {
    return "{\"key\":\"" + b64(key) + "\"" + more + "}";
  }

  private static String b64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }
}
