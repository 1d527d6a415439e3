package org.sequoiareach.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.SignalType;

class EngineRunnerTest {

  private static final int TOKENS = 5;
  private static final StepSettings STEPS = new StepSettings(2, 0, 0, 0, 512, 16);

  /** Verifies that a subscriber that requests more while it receives an event completes once. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 64})
  void completesEveryStreamOnceForAnyDemand(int prefetch) throws InterruptedException {
    EngineRunner runner = new EngineRunner(EngineSettings.of("e1", "m").withSteps(STEPS));
    List<String> first = new CopyOnWriteArrayList<>();
    List<String> second = new CopyOnWriteArrayList<>();
    CountDownLatch ended = new CountDownLatch(2);
    stream(runner, "a").subscribe(subscriber(prefetch, first, ended));
    stream(runner, "b").subscribe(subscriber(prefetch, second, ended));

    assertThat(ended.await(Duration.ofSeconds(10).toMillis(), TimeUnit.MILLISECONDS)).isTrue();
    runner.stop();

    assertThat(first).hasSize(TOKENS + 1).doesNotHaveDuplicates();
    assertThat(second).hasSize(TOKENS + 1).doesNotHaveDuplicates();
  }

  @Test
  void disconnectsEachObserverOnceDespiteReentrantCalls() {
    EngineRunner runner = new EngineRunner(EngineSettings.of("e1", "m"));
    List<ReentrantObserver> observers =
        List.of(
            new ReentrantObserver(runner),
            new ReentrantObserver(runner),
            new ReentrantObserver(runner));
    observers.forEach(runner::observe);
    runner.disconnectAll();
    assertThat(observers).extracting(observer -> observer.disconnects).containsOnly(1);
  }

  private static Flux<String> stream(EngineRunner runner, String id) {
    GenerationRequest request =
        new GenerationRequest(
            id, "m", "prompt", OptionalInt.empty(), 0, id, OptionalInt.of(TOKENS));
    return Flux.create(
        sink -> {
          Generation generation =
              runner.execute(
                  simulator -> {
                    simulator.submit(request, EngineRunner.nowMs());
                    return simulator.find(id, EngineRunner.nowMs()).orElseThrow();
                  });
          observe(runner, sink, generation);
        });
  }

  private static void observe(EngineRunner runner, FluxSink<String> sink, Generation generation) {
    runner.observe(new StreamingObserver(generation, new CompletionResponseWriter(), sink, 0, 0));
    sink.onRequest(n -> runner.deliverNow());
  }

  private static BaseSubscriber<String> subscriber(
      int prefetch, List<String> received, CountDownLatch ended) {
    return new BaseSubscriber<>() {
      @Override
      protected void hookOnSubscribe(Subscription subscription) {
        request(prefetch);
      }

      @Override
      protected void hookOnNext(String event) {
        received.add(event);
        request(1);
      }

      @Override
      protected void hookFinally(SignalType type) {
        ended.countDown();
      }
    };
  }

  /** Calls the runner again while it is being disconnected. */
  private static final class ReentrantObserver implements GenerationObserver {

    private final EngineRunner runner;
    private int disconnects;

    private ReentrantObserver(EngineRunner runner) {
      this.runner = runner;
    }

    @Override
    public boolean deliver() {
      return disconnects > 0;
    }

    @Override
    public void disconnect() {
      disconnects++;
      runner.deliverNow();
    }
  }
}
