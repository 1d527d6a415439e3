package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.standin.engine.EngineFaults;
import org.sequoiareach.standin.engine.EngineSettings;
import org.sequoiareach.standin.engine.EngineStandin;
import org.sequoiareach.standin.engine.StepSettings;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Tests that the idle timeout fails idle engines but not slow callers. */
class IdleTimeoutTest {

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(400);
  private static final long LONGER_THAN_IDLE_MS = 1_200;
  private static final int TOKENS = 20_000;

  private final LoopResources traffic = LoopResources.create("test", 1, true);
  private final ConnectionProvider connections = ConnectionProvider.create("test", 4);
  private final EngineClient client = new EngineClient(traffic, connections, IDLE_TIMEOUT);
  private final EngineStandin engine =
      new EngineStandin(
          EngineSettings.of("e1", "m").withSteps(new StepSettings(0.05, 0, 0, 0.001, 4_096, 64)));
  private String address;

  @BeforeEach
  void start() {
    InetSocketAddress bound = engine.start();
    address = "127.0.0.1:" + bound.getPort();
    String body =
        "{\"model\":\"m\",\"stream\":true,\"max_tokens\":20000,\"metadata\":{\"answer_tokens\":\""
            + TOKENS
            + "\"},\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
    HttpClient.create()
        .headers(headers -> headers.set("X-Request-Id", "a1"))
        .post()
        .uri("http://" + address + "/v1/chat/completions")
        .send(ByteBufFlux.fromString(Mono.just(body)))
        .responseContent()
        .take(1)
        .blockLast();
  }

  @AfterEach
  void stop() {
    engine.close();
    connections.dispose();
    traffic.dispose();
  }

  @Test
  void doesNotExpireWhileCallerHasNoDemand() throws Exception {
    OnePartSubscriber subscriber = new OnePartSubscriber();
    client.resume("e1", address, "a1", 0).subscribe(subscriber);
    subscriber.first.get(5, TimeUnit.SECONDS);
    Thread.sleep(LONGER_THAN_IDLE_MS);
    subscriber.request(Long.MAX_VALUE);
    subscriber.ended.get(10, TimeUnit.SECONDS);
    assertThat(subscriber.parts.get(subscriber.parts.size() - 1))
        .isInstanceOf(AnswerPart.End.class);
    assertThat(subscriber.parts).hasSize(TOKENS + 2);
  }

  @Test
  void failsWhenEngineSendsNothingDespiteDemand() {
    engine.setFaults(
        new EngineFaults(1, 60_000, 0, 0, false, 0, OptionalLong.empty(), false, false));
    CompletableFuture<List<AnswerPart>> answer =
        client.resume("e1", address, "a1", 0).collectList().toFuture();
    assertThat(answer)
        .failsWithin(Duration.ofSeconds(3))
        .withThrowableThat()
        .withMessageContaining("could not be resumed");
  }

  /** Requests a single part; the test requests the others later. */
  private static final class OnePartSubscriber extends BaseSubscriber<AnswerPart> {

    private final CompletableFuture<Void> first = new CompletableFuture<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final List<AnswerPart> parts = new ArrayList<>();

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      subscription.request(1);
    }

    @Override
    protected void hookOnNext(AnswerPart part) {
      parts.add(part);
      first.complete(null);
    }

    @Override
    protected void hookOnComplete() {
      ended.complete(null);
    }

    @Override
    protected void hookOnError(Throwable thrown) {
      ended.completeExceptionally(thrown);
    }
  }
}
