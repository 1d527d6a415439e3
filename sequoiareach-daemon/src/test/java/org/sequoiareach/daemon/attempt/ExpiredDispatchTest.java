package org.sequoiareach.daemon.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.target.RawTarget;
import org.sequoiareach.daemon.target.ServiceClient;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.resources.LoopResources;

class ExpiredDispatchTest {

  private static final RequestSpec SPEC =
      new RequestSpec(
          "r1", "acme", RequestKind.SERVICE_CALL, "s", "", false, "k", 0, 0, List.of(), false);

  /** Guards against reporting a call as not run after its connection was opened. */
  @ParameterizedTest
  @CsvSource({"-1,NOT_RUN,0", "10000,RAN,1"})
  void targetIsContactedOnlyWithinTimeToSend(long sendInMs, Verdict verdict, int calls)
      throws Exception {
    AtomicInteger connections = new AtomicInteger();
    LoopResources eventLoops = LoopResources.create("test-dispatch", 1, true);
    try (RawTarget service =
        new RawTarget(
            socket -> {
              connections.incrementAndGet();
              RawTarget.readRequest(socket);
              RawTarget.respond(socket, 200, "text/plain", "done");
            })) {
      BlockingQueue<Event> events = new LinkedBlockingQueue<>();
      AttemptRunner runner =
          new AttemptRunner(
              null, new ServiceClient(eventLoops), null, events::add, new MetricRegistry());
      PendingRequest request =
          new PendingRequest(SPEC, new RequestContent("POST", "/", List.of(), new byte[0]));
      runner.register(request);
      request.answer().subscribe();
      long nowMs = MonotonicClock.nowMs();
      runner.handle(
          new Effect.Dispatch(
              "r1-1", "r1", "s1", service.address(), 0, nowMs + sendInMs, nowMs + 20_000));

      assertThat(awaitEnd(events).outcome().verdict()).isEqualTo(verdict);
      assertThat(connections).hasValue(calls);
    } finally {
      eventLoops.dispose();
    }
  }

  private static RequestEvent.AttemptEnded awaitEnd(BlockingQueue<Event> events)
      throws InterruptedException {
    Event event = events.poll(20, TimeUnit.SECONDS);
    while (event != null && !(event instanceof RequestEvent.AttemptEnded)) {
      event = events.poll(20, TimeUnit.SECONDS);
    }
    return (RequestEvent.AttemptEnded) event;
  }
}
