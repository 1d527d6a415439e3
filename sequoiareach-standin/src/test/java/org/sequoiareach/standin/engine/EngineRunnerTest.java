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

  /** A follower that asks for more while it is being given an event must not end twice. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 64})
  void endsEveryStreamOnceHoweverItsReaderAsks(int prefetch) throws InterruptedException {
    EngineRunner runner = new EngineRunner(EngineSettings.of("e1", "m").withSteps(STEPS));
    List<String> first = new CopyOnWriteArrayList<>();
    List<String> second = new CopyOnWriteArrayList<>();
    CountDownLatch ended = new CountDownLatch(2);
    stream(runner, "a").subscribe(reader(prefetch, first, ended));
    stream(runner, "b").subscribe(reader(prefetch, second, ended));

    assertThat(ended.await(Duration.ofSeconds(10).toMillis(), TimeUnit.MILLISECONDS)).isTrue();
    runner.stop();

    assertThat(first).hasSize(TOKENS + 1).doesNotHaveDuplicates();
    assertThat(second).hasSize(TOKENS + 1).doesNotHaveDuplicates();
  }

  @Test
  void cutsAllFollowersThoughOneAsksInBetween() {
    EngineRunner runner = new EngineRunner(EngineSettings.of("e1", "m"));
    List<AskingFollower> followers =
        List.of(new AskingFollower(runner), new AskingFollower(runner), new AskingFollower(runner));
    followers.forEach(runner::follow);
    runner.cutFollowers();
    assertThat(followers).extracting(follower -> follower.cuts).containsOnly(1);
  }

  private static Flux<String> stream(EngineRunner runner, String id) {
    CompletionRequest request =
        new CompletionRequest(
            id, "m", "prompt", OptionalInt.empty(), 0, id, OptionalInt.of(TOKENS));
    return Flux.create(
        sink -> {
          Generation generation =
              runner.call(
                  model -> {
                    model.submit(request, EngineRunner.nowMs());
                    return model.find(id, EngineRunner.nowMs()).orElseThrow();
                  });
          follow(runner, sink, generation);
        });
  }

  private static void follow(EngineRunner runner, FluxSink<String> sink, Generation generation) {
    runner.follow(new StreamFollower(generation, new AnswerWriter(), sink, 0, 0));
    sink.onRequest(n -> runner.pumpNow());
  }

  private static BaseSubscriber<String> reader(
      int prefetch, List<String> seen, CountDownLatch ended) {
    return new BaseSubscriber<>() {
      @Override
      protected void hookOnSubscribe(Subscription subscription) {
        request(prefetch);
      }

      @Override
      protected void hookOnNext(String event) {
        seen.add(event);
        request(1);
      }

      @Override
      protected void hookFinally(SignalType type) {
        ended.countDown();
      }
    };
  }

  /** Ends when it is cut, and asks for a round then. */
  private static final class AskingFollower implements Follower {

    private final EngineRunner runner;
    private int cuts;

    private AskingFollower(EngineRunner runner) {
      this.runner = runner;
    }

    @Override
    public boolean pump() {
      return cuts > 0;
    }

    @Override
    public void cut() {
      cuts++;
      runner.pumpNow();
    }
  }
}
