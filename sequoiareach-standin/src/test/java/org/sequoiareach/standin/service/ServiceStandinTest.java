package org.sequoiareach.standin.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.standin.server.Exchanges;
import org.sequoiareach.standin.server.TestHttpClient;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServiceStandinTest {

  private final ServiceStandin service =
      new ServiceStandin(new ServiceSettings("127.0.0.1:0", "dispatch"));
  private TestHttpClient client;

  @BeforeEach
  void start() {
    client = new TestHttpClient(service.start());
  }

  @AfterEach
  void close() {
    service.close();
  }

  @Test
  void countsExecutionsPerIdempotencyKey() throws Exception {
    client.send("POST", "/bookings", "load 7", "Idempotency-Key", "k1");
    HttpResponse<String> answer =
        client.send("POST", "/bookings?again=1", "load 7", "Idempotency-Key", "k1");
    assertThat(Exchanges.parse(answer.body()).path("execution").asInt()).isEqualTo(2);
    assertThat(Exchanges.parse(answer.body()).path("body").asText()).isEqualTo("load 7");
    assertThat(service.record().runsByKey()).isEqualTo(Map.of("k1", 2L));
    assertThat(service.record().calls().get(1).uri()).isEqualTo("/bookings?again=1");
  }

  @ParameterizedTest
  @CsvSource({"failBeforeRun, 0", "dropAfterRun, 1"})
  void closesConnectionOfOneCall(String fault, long executions) throws Exception {
    client.setFaults("{\"" + fault + "\":1}");
    assertThatThrownBy(() -> client.send("POST", "/x", "")).isInstanceOf(IOException.class);
    assertThat(service.record().executions()).isEqualTo(executions);
    assertThat(client.send("POST", "/x", "").statusCode()).isEqualTo(200);
  }

  @ParameterizedTest
  @CsvSource({"status, 500, 500, 1", "refuse, 1, 503, 0", "delayMs, 20, 200, 1"})
  void appliesConfiguredFault(String fault, int value, int status, long executions)
      throws Exception {
    client.setFaults("{\"" + fault + "\":" + value + "}");
    assertThat(client.send("GET", "/x", "").statusCode()).isEqualTo(status);
    assertThat(service.record().executions()).isEqualTo(executions);
  }
}
