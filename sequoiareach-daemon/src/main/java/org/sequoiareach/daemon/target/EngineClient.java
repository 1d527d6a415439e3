package org.sequoiareach.daemon.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Speaks to model engines in the OpenAI-compatible form with priorities, resumption and
 * cancellation. Thread-safe.
 */
public final class EngineClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
  private static final int LOAD_BYTES = 1 << 16;

  /** How many decoded buffers and events may wait for a slow caller. */
  private static final int BUFFERS_AHEAD = 1;

  private static final int EVENTS_AHEAD = 16;

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final String DONE = "[DONE]";

  private final HttpClient client;
  private final Duration idleTimeout;

  /**
   * Creates a client.
   *
   * @param traffic the traffic threads
   * @param connections the pool of connections
   */
  public EngineClient(LoopResources traffic, ConnectionProvider connections) {
    this(traffic, connections, IDLE_TIMEOUT);
  }

  EngineClient(LoopResources traffic, ConnectionProvider connections, Duration idleTimeout) {
    this.idleTimeout = idleTimeout;
    this.client =
        HttpClient.create(connections)
            .runOn(traffic, false)
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Starts a generation and reads its stream.
   *
   * @param dispatch the attempt, whose identity names the generation
   * @param content the caller's request
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  public Flux<AnswerPart> generate(Effect.Dispatch dispatch, RequestContent content) {
    String attemptId = dispatch.attemptId();
    byte[] body = prepare(content.body(), dispatch.enginePriority());
    IdleWatch watch = new IdleWatch(idleTimeout);
    return client
        .headers(
            headers -> {
              headers.set("Content-Type", "application/json");
              headers.set("Accept", "text/event-stream");
              headers.set("X-Request-Id", attemptId);
            })
        .post()
        .uri("http://" + dispatch.address() + COMPLETIONS)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response(
            (response, bytes) -> {
              Flux<ByteBuf> watched = bytes.doOnNext(buffer -> watch.received());
              return read(dispatch.targetId(), attemptId, 0, response, watched);
            })
        .transform(watch::watch)
        .onErrorMap(thrown -> TargetFailures.classify(dispatch.targetId(), thrown));
  }

  /**
   * Reads on from a generation.
   *
   * @param targetId the engine
   * @param address the engine's address
   * @param attemptId the attempt that names the generation
   * @param afterSequence the last token already received; 0 for none
   * @return the parts after that token
   */
  public Flux<AnswerPart> resume(
      String targetId, String address, String attemptId, long afterSequence) {
    IdleWatch watch = new IdleWatch(idleTimeout);
    return client
        .headers(headers -> headers.set("Last-Event-ID", Long.toString(afterSequence)))
        .get()
        .uri("http://" + address + COMPLETIONS + "/chatcmpl-" + attemptId)
        .response(
            (response, bytes) -> {
              Flux<ByteBuf> watched = bytes.doOnNext(buffer -> watch.received());
              return read(targetId, attemptId, afterSequence, response, watched);
            })
        .transform(watch::watch)
        .onErrorMap(thrown -> mayHaveRun(targetId, thrown));
  }

  /**
   * Cancels a generation. A failure is ignored: the engine ends the generation by itself.
   *
   * @param address the engine's address
   * @param attemptId the attempt that names the generation
   * @return whether the engine knew the generation
   */
  public Mono<Boolean> cancel(String address, String attemptId) {
    return client
        .responseTimeout(CONTROL_TIMEOUT)
        .delete()
        .uri("http://" + address + COMPLETIONS + "/chatcmpl-" + attemptId)
        .response()
        .map(response -> response.status().code() / 100 == 2)
        .onErrorReturn(false);
  }

  /**
   * Asks an engine for its load.
   *
   * @param address the engine's address
   * @return the report
   */
  public Mono<EngineLoad> load(String address) {
    return client
        .responseTimeout(CONTROL_TIMEOUT)
        .get()
        .uri("http://" + address + "/load")
        .responseSingle((response, bytes) -> bytes.asByteArray())
        .timeout(CONTROL_TIMEOUT)
        .map(EngineClient::parseLoad);
  }

  private static EngineLoad parseLoad(byte[] bytes) {
    if (bytes.length > LOAD_BYTES) {
      throw new IllegalStateException("a load report exceeds " + LOAD_BYTES + " bytes");
    }
    try {
      return Json.mapper().readValue(bytes, EngineLoad.class);
    } catch (IOException e) {
      throw new IllegalStateException("not a load report: " + e.getMessage(), e);
    }
  }

  private static Flux<AnswerPart> read(
      String targetId,
      String attemptId,
      long afterSequence,
      HttpClientResponse response,
      Flux<ByteBuf> bytes) {
    int status = response.status().code();
    if (status != 200) {
      return ByteBufFlux.fromInbound(bytes)
          .aggregate()
          .asString(StandardCharsets.UTF_8)
          .defaultIfEmpty("")
          .flatMapMany(text -> Flux.error(refused(targetId, status, text)));
    }
    // The buffers go back to the pool after their signal, so they are read within it.
    SseDecoder decoder = new SseDecoder();
    GenerationReader reader = new GenerationReader(targetId, attemptId, afterSequence);
    return bytes
        .map(decoder::decode)
        .concatMapIterable(events -> events, BUFFERS_AHEAD)
        .concatMapIterable(event -> reader.read(event, DONE), EVENTS_AHEAD)
        .concatWith(Flux.defer(reader::requireEnd));
  }

  private static RuntimeException refused(String targetId, int status, String text) {
    String message = "target " + targetId + " answered " + status + " " + shorten(text);
    if (status == 503 || status == 429) {
      return TargetFailures.failure(Verdict.NOT_RUN, Reason.NO_CAPACITY, message);
    }
    if (status == 404) {
      return TargetFailures.failure(Verdict.MAY_HAVE_RUN, Reason.NOT_FOUND, message);
    }
    if (status / 100 == 4 && status != 409) {
      return TargetFailures.failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, message);
    }
    return TargetFailures.failure(Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, message);
  }

  private static String shorten(String text) {
    return text.length() <= 200 ? text : text.substring(0, 200) + "…";
  }

  private static RuntimeException mayHaveRun(String targetId, Throwable thrown) {
    if (thrown instanceof RequestFailedException failure
        && failure.verdict() == Verdict.MAY_HAVE_RUN) {
      return failure;
    }
    return TargetFailures.failure(
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
        "the generation could not be resumed at " + targetId + ": " + thrown.getMessage());
  }

  private static byte[] prepare(byte[] body, int priority) {
    try {
      ObjectNode tree = (ObjectNode) Json.mapper().readTree(body);
      tree.put("stream", true);
      tree.put("priority", priority);
      tree.putObject("stream_options").put("include_usage", true);
      return Json.mapper().writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("'body' is not JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("'body' is not JSON: " + e.getMessage(), e);
    }
  }

  /** Turns events of one stream into parts and insists on its end. */
  private static final class GenerationReader {

    private final String targetId;
    private final String attemptId;
    private long sequence;
    private boolean ended;

    private GenerationReader(String targetId, String attemptId, long afterSequence) {
      this.sequence = afterSequence;
      this.targetId = targetId;
      this.attemptId = attemptId;
    }

    private List<AnswerPart> read(SseEvent event, String done) {
      if (event.data().equals(done)) {
        ended = true;
        return List.of(new AnswerPart.End((int) sequence));
      }
      if (event.id().isEmpty()) {
        return List.of();
      }
      sequence = Long.parseLong(event.id());
      byte[] payload = event.data().getBytes(StandardCharsets.UTF_8);
      return List.of(new AnswerPart.Data(targetId, attemptId, sequence, payload));
    }

    private Flux<AnswerPart> requireEnd() {
      if (ended) {
        return Flux.empty();
      }
      return Flux.error(
          TargetFailures.failure(
              Verdict.MAY_HAVE_RUN,
              Reason.TARGET_FAILED,
              "target " + targetId + " ended the stream before its answer was whole"));
    }
  }
}
