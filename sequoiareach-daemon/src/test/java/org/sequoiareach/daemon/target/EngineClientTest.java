package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.daemon.answer.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

class EngineClientTest {

  private static final int TOKENS = 300;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Guards against decoding a buffer after it was released to the pool, which corrupts tokens. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 256})
  void readsEveryTokenWhenConsumerIsSlow(int demand) {
    DisposableServer engine = startEngine();
    LoopResources traffic = LoopResources.create("test-traffic", 1, true);
    ConnectionProvider connections = ConnectionProvider.create("test-traffic", 10);
    try {
      List<Long> sequences =
          new EngineClient(traffic, connections)
              .resume("e1", "127.0.0.1:" + engine.port(), "r1", 0)
              .limitRate(demand)
              .concatMap(part -> Mono.just(part).delayElement(Duration.ofMillis(1)), 1)
              .ofType(AnswerPart.Data.class)
              .map(AnswerPart.Data::sequence)
              .collectList()
              .block(TIMEOUT);

      assertThat(sequences)
          .containsExactlyElementsOf(LongStream.rangeClosed(1, TOKENS).boxed().toList());
    } finally {
      engine.disposeNow();
      connections.dispose();
      traffic.dispose();
    }
  }

  private static DisposableServer startEngine() {
    Flux<String> events =
        Flux.range(1, TOKENS)
            .map(n -> "id: " + n + "\ndata: {\"id\":\"chatcmpl-r1\"}\n\n")
            .concatWith(Flux.just("data: [DONE]\n\n"))
            .delayElements(Duration.ofMillis(1));
    return HttpServer.create()
        .host("127.0.0.1")
        .port(0)
        .handle((request, response) -> response.sse().sendString(events))
        .bindNow();
  }
}
