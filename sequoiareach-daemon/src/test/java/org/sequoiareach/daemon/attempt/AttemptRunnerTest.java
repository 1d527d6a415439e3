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

/**
 * Tests that a part which was accepted for delivery reaches the caller even if its attempt is
 * stopped at the same moment. Otherwise a resumption after the last accepted part would lose that
 * part.
 */
class AttemptRunnerTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r1", "acme", RequestKind.GENERATION, "m", "", true, "", 1, 100, List.of(), true);
  private static final RequestContent CONTENT =
      new RequestContent("POST", "/", List.of(), new byte[0]);

  private final Sinks.Many<AnswerPart> ownerAnswer = Sinks.many().unicast().onBackpressureBuffer();
  private final AtomicReference<AttemptRunner> runnerToStop = new AtomicReference<>();

  @Test
  void deliversAcceptedPartWhenItsAttemptIsStoppedMeanwhile() {
    AttemptRunner runner =
        new AttemptRunner(null, null, new StubForwarder(), this::post, new MetricRegistry());
    PendingRequest request = new PendingRequest(SPEC, CONTENT);
    List<AnswerPart> delivered = new ArrayList<>();
    runnerToStop.set(runner);
    runner.register(request);
    request.answer().subscribe(delivered::add);
    runner.handle(new Effect.Forward("a1", "d2", "e1", SPEC, 5, 1, Long.MAX_VALUE));
    for (int sequence = 1; sequence <= 3; sequence++) {
      ownerAnswer.tryEmitNext(new AnswerPart.Data("e1", "a1", sequence, new byte[1]));
    }
    // A resumption continues after the last sequence number, so parts up to it must have arrived.
    assertThat(request.lastSequence("a1")).isEqualTo(1);
    assertThat(delivered).hasSize(1);
  }

  /** Stops the attempt while its first part is reported, as the reducer may at any time. */
  private void post(Event event) {
    if (event instanceof RequestEvent.AttemptStarted started) {
      runnerToStop.get().handle(new Effect.ReleaseAttempt(started.attemptId()));
    }
  }

  /** Returns the answer of {@link #ownerAnswer} for every forwarded attempt. */
  private final class StubForwarder implements AttemptForwarder {

    @Override
    public Flux<AnswerPart> forward(Effect.Forward forward, RequestContent content) {
      return ownerAnswer.asFlux();
    }

    @Override
    public void stop(String attemptId, boolean keepGeneration) {}
  }
}
