package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.standin.server.RawServer;
import reactor.core.publisher.Flux;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Tests streams that no sound engine sends, resumed after token 2; {@code |} stands for LF and
 * {@code ^} for CR.
 */
class EngineStreamFaultTest {

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final LoopResources traffic = LoopResources.create("test-traffic", 1, true);
  private final ConnectionProvider connections = ConnectionProvider.create("test-traffic", 10);
  private final EngineClient client = new EngineClient(traffic, connections);

  @AfterEach
  void stop() {
    connections.dispose();
    traffic.dispose();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "data: {}||; missing-id",
        "id: +3|data: {}||; invalid-id",
        "id: 03|data: {}||; invalid-id",
        "id: x|data: {}||; invalid-id",
        "id: ٣|data: {}||; invalid-id",
        "id: 3|id: 4|data: {}||; several-ids",
        "id: 3|id: 3|data: {}||; several-ids",
        "id: 3||; missing-data",
        "id: 4|data: {}||; gap",
        "id: 9|data: {}||; gap",
        "garbage||; unknown-field",
        "HTTP/1.1 200 OK^|^|; unknown-field",
        "Id: 3|data: {}||; unknown-field",
        "id: 3^data: {}||; ambiguous-line-end",
        "id: 3|data: {^}||; ambiguous-line-end",
        "id: 3|data: [DONE]||; invalid-value",
        "id: 3|data:||; invalid-value",
        "data: [DONE]|data: [DONE]||; missing-id",
        "data: [DONE]||id: 3|data: {}||; event behind the end",
        "data: [DONE]||id: 1|data: {}||; event behind the end",
        "data: [DONE]||garbage||; unknown-field",
        "data: [DONE]||data: [DONE]||; missing-id"
      })
  void failsAttemptAtBlockThatNoSoundEngineSends(String blocks, String fault) throws IOException {
    // The end that follows lets an attempt pass whose fault is not seen.
    String rest = blocks.startsWith("data: [DONE]||") ? "" : "data: [DONE]||";
    try (RawTarget engine = startEngine(blocks + rest)) {
      Flux<AnswerPart> parts = client.resume("e1", engine.address(), "r1", 2);

      assertThatThrownBy(() -> parts.blockLast(TIMEOUT))
          .isInstanceOf(RequestFailedException.class)
          .hasMessageContaining("(" + fault + ")");
    }
  }

  @Test
  void readsOnlyNextEventsOfSoundStream() throws IOException {
    String stream =
        ": ping||id: 2|data: {}||retry: 5||id: 3^|data: {\"ñ\":^|data: 1}^|^|"
            + "id: 4|data: {}||data: [DONE]||: end||";
    try (RawTarget engine = startEngine(stream)) {
      List<AnswerPart> parts =
          client.resume("e1", engine.address(), "r1", 2).collectList().block(TIMEOUT);

      assertThat(parts).hasSize(3);
      AnswerPart.Data first = (AnswerPart.Data) parts.get(0);
      assertThat(first.sequence()).isEqualTo(3);
      assertThat(new String(first.payload(), StandardCharsets.UTF_8)).isEqualTo("{\"ñ\":\n1}");
      assertThat(((AnswerPart.Data) parts.get(1)).sequence()).isEqualTo(4);
      assertThat(parts.get(2)).isEqualTo(new AnswerPart.End(4));
    }
  }

  private static RawTarget startEngine(String stream) throws IOException {
    byte[] bytes = stream.replace('|', '\n').replace('^', '\r').getBytes(StandardCharsets.UTF_8);
    String chunk = RawServer.chunk(new String(bytes, StandardCharsets.ISO_8859_1));
    return new RawTarget(
        socket -> {
          RawTarget.readRequest(socket);
          RawTarget.write(socket, STREAM_HEAD + chunk + LAST_CHUNK);
        });
  }
}
