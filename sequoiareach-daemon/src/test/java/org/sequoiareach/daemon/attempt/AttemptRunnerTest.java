package org.sequoiareach.daemon.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** What counts as delivered reaches the caller, whenever its attempt is stopped. */
class AttemptRunnerTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r1", "acme", RequestKind.GENERATION, "m", "", true, "", 1, 100, List.of(), true);
  private static final RequestContent CONTENT =
      new RequestContent("POST", "/", List.of(), new byte[0]);

  private final Sinks.Many<AnswerPart> owner = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicReference<AttemptRunner> stopAtStart = new AtomicReference<>();

  @Test
  void deliversThePartDuringWhichItsAttemptIsStopped() {
    AttemptRunner runner =
        new AttemptRunner(null, null, new OwnerLink(), this::post, new MetricRegistry());
    Exchange exchange = new Exchange(SPEC, CONTENT);
    List<AnswerPart> delivered = new ArrayList<>();
    stopAtStart.set(runner);
    runner.open(exchange);
    exchange.answer().subscribe(delivered::add);
    runner.handle(new Effect.Forward("a1", "d2", "e1", SPEC, 5, 1, Long.MAX_VALUE));
    for (int sequence = 1; sequence <= 3; sequence++) {
      owner.tryEmitNext(new AnswerPart.Data("e1", "a1", sequence, new byte[1]));
    }
    // A resumption reads on after the last sequence, so all up to it must have been delivered.
    assertThat(exchange.lastSequence("a1")).isEqualTo(1);
    assertThat(delivered).hasSize(1);
  }

  /** Stops the attempt when its first part is noted, as the reducer may at any moment. */
  private void post(Event event) {
    if (event instanceof RequestEvent.AttemptStarted started) {
      stopAtStart.get().handle(new Effect.ReleaseAttempt(started.attemptId()));
    }
  }

  /** Stands in for the link to the owner. */
  private final class OwnerLink implements AttemptForwarder {

    @Override
    public Flux<AnswerPart> forward(Effect.Forward forward, RequestContent content) {
      return owner.asFlux();
    }

    @Override
    public void stop(String attemptId, boolean keepGeneration) {}
  }
}
