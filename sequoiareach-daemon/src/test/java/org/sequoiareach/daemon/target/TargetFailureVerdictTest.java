package org.sequoiareach.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Tests which failures of a target are reported as not run, with targets over plain sockets. */
class TargetFailureVerdictTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String STREAM = "id: 1\ndata: {}\n\ndata: [DONE]\n\n";

  private final LoopResources eventLoops = LoopResources.create("test-targets", 1, true);
  private final ConnectionProvider pool = ConnectionProvider.create("test-targets", 10);
  private final EngineClient engines = new EngineClient(eventLoops, pool);
  private final ServiceClient services = new ServiceClient(eventLoops);

  @AfterEach
  void release() {
    pool.dispose();
    eventLoops.dispose();
  }

  /** Ways to lose a connection after a part of the request may have left this process. */
  private enum Loss {
    CLOSED_UNREAD {
      @Override
      void inflict(Socket socket) {
        // The connection is closed when this returns.
      }
    },
    RESET_UNREAD {
      @Override
      void inflict(Socket socket) throws IOException {
        RawTarget.reset(socket);
      }
    },
    RESET_AFTER_PART_OF_REQUEST {
      @Override
      void inflict(Socket socket) throws IOException {
        socket.getInputStream().readNBytes(100);
        RawTarget.reset(socket);
      }
    },
    CLOSED_AFTER_REQUEST {
      @Override
      void inflict(Socket socket) throws IOException {
        RawTarget.readRequest(socket);
      }
    },
    CLOSED_IN_HEAD_OF_REFUSAL {
      @Override
      void inflict(Socket socket) throws IOException {
        RawTarget.readRequest(socket);
        RawTarget.write(socket, "HTTP/1.1 503 Service Unavailable\r\nContent-");
      }
    };

    abstract void inflict(Socket socket) throws IOException;
  }

  @ParameterizedTest
  @EnumSource
  void lostConnectionToServiceMayHaveRun(Loss loss) throws Exception {
    try (RawTarget service = new RawTarget(loss::inflict)) {
      assertThat(verdictOf(call(service.address()))).isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @ParameterizedTest
  @EnumSource
  void lostConnectionToEngineMayHaveRun(Loss loss) throws Exception {
    try (RawTarget engine = new RawTarget(loss::inflict)) {
      assertThat(verdictOf(generate(engine.address()))).isEqualTo(Verdict.MAY_HAVE_RUN);
    }
  }

  @Test
  void refusedConnectionIsNotRun() throws Exception {
    RawTarget target = new RawTarget(socket -> {});
    target.close();
    assertThat(verdictOf(call(target.address()))).isEqualTo(Verdict.NOT_RUN);
    assertThat(verdictOf(generate(target.address()))).isEqualTo(Verdict.NOT_RUN);
  }

  /** Guards against reading a promise into a status for which the protocol states none. */
  @ParameterizedTest
  @CsvSource({
    "400,NOT_RUN",
    "503,NOT_RUN",
    "404,MAY_HAVE_RUN",
    "408,MAY_HAVE_RUN",
    "409,MAY_HAVE_RUN",
    "413,MAY_HAVE_RUN",
    "421,MAY_HAVE_RUN",
    "422,MAY_HAVE_RUN",
    "425,MAY_HAVE_RUN",
    "429,MAY_HAVE_RUN",
    "500,MAY_HAVE_RUN",
    "502,MAY_HAVE_RUN",
    "504,MAY_HAVE_RUN"
  })
  void onlyStatedRefusalsOfEngineAreNotRun(int status, Verdict verdict) throws Exception {
    try (RawTarget engine = new RawTarget(socket -> answer(socket, status, "{}"))) {
      assertThat(verdictOf(generate(engine.address()))).isEqualTo(verdict);
    }
  }

  /** Guards against taking an extra answer on a used connection for the refusal of a request. */
  @Test
  void extraRefusalOnUsedConnectionIsNotTakenForNextGeneration() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    try (RawTarget engine = new RawTarget(socket -> answerWithExtraRefusals(socket, runs))) {
      for (int i = 1; i <= 3; i++) {
        List<AnswerPart> parts = generate(engine.address()).collectList().block(TIMEOUT);
        assertThat(parts).last().isInstanceOf(AnswerPart.End.class);
        assertThat(runs).hasValue(i);
      }
    }
  }

  private static void answer(Socket socket, int status, String body) throws IOException {
    RawTarget.readRequest(socket);
    RawTarget.respond(socket, status, "application/json", body);
  }

  /** Runs every request, but precedes each answer except the first by one of status 503. */
  private static void answerWithExtraRefusals(Socket socket, AtomicInteger runs)
      throws IOException {
    boolean used = false;
    while (!RawTarget.readRequest(socket).isEmpty()) {
      runs.incrementAndGet();
      if (used) {
        RawTarget.respond(socket, 503, "application/json", "{}");
      }
      RawTarget.respond(socket, 200, "text/event-stream", STREAM);
      used = true;
    }
  }

  private Flux<AnswerPart> generate(String address) {
    RequestContent content =
        new RequestContent(
            "POST", "/v1/chat/completions", List.of(), "{}".getBytes(StandardCharsets.UTF_8));
    return engines.generate(dispatch(address), content);
  }

  private Flux<AnswerPart> call(String address) {
    return services.call(
        dispatch(address), new RequestContent("POST", "/", List.of(), new byte[4 << 20]));
  }

  private static Effect.Dispatch dispatch(String address) {
    long deadlineMs = MonotonicClock.nowMs() + TIMEOUT.toMillis();
    return new Effect.Dispatch("r1-1", "r1", "t1", address, 5, deadlineMs, deadlineMs);
  }

  private static Verdict verdictOf(Flux<AnswerPart> answer) {
    return catchThrowableOfType(
            () -> answer.collectList().block(TIMEOUT), RequestFailedException.class)
        .verdict();
  }
}
