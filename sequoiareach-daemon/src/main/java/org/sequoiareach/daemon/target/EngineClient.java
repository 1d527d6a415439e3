package org.sequoiareach.daemon.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventField;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.sse.StreamFault;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.platform.EngineLoad;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.store.http.ResponseHardening;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * A client for model engines with an OpenAI-compatible API that is extended by priorities,
 * resumption and cancellation. Thread-safe.
 *
 * <p>Each generation, and each resumption of one, is read from a new connection. On one that was
 * used before, a late or extra response of the engine to an earlier request would be taken for the
 * refusal or the tokens of this one.
 */
public final class EngineClient {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_LOAD_REPORT_BYTES = 1 << 16;
  private static final int MAX_ERROR_BYTES = 1 << 16;

  /** The number of decoded buffers that are requested ahead of a slow caller. */
  private static final int BUFFER_PREFETCH = 1;

  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String DONE_DATA = "[DONE]";
  private static final List<EventField> DONE_FIELDS = List.of(new EventField("data", DONE_DATA));
  private static final EventStreamFormat FORMAT = new NumberedEventStreamFormat(Set.of());

  private final HttpClient streams;
  private final HttpClient control;
  private final Duration idleTimeout;

  /**
   * Creates a client.
   *
   * @param eventLoops the event loops that serve connections
   * @param connections the connection pool for control calls
   */
  public EngineClient(LoopResources eventLoops, ConnectionProvider connections) {
    this(eventLoops, connections, IDLE_TIMEOUT);
  }

  EngineClient(LoopResources eventLoops, ConnectionProvider connections, Duration idleTimeout) {
    this.idleTimeout = idleTimeout;
    this.streams = createClient(eventLoops, ConnectionProvider.newConnection()).keepAlive(false);
    this.control = createClient(eventLoops, connections);
  }

  private static HttpClient createClient(LoopResources eventLoops, ConnectionProvider connections) {
    return ResponseHardening.applyTo(HttpClient.create(connections))
        .runOn(eventLoops, false)
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Starts a generation and reads its stream.
   *
   * @param dispatch the attempt, whose ID identifies the generation
   * @param content the request of the caller
   * @return the parts of the answer; fails with {@link
   *     org.sequoiareach.model.request.RequestFailedException}
   */
  public Flux<AnswerPart> generate(Effect.Dispatch dispatch, RequestContent content) {
    String attemptId = dispatch.attemptId();
    byte[] body = prepareBody(content.body(), dispatch.enginePriority());
    ResponseConnection connection = new ResponseConnection();
    IdleTimeout timeout = new IdleTimeout(idleTimeout, connection);
    ReadAheadLimit readAhead = new ReadAheadLimit(connection);
    return connection
        .recordFrom(streams)
        .headers(
            headers -> {
              headers.set("Content-Type", "application/json");
              headers.set("Accept", "text/event-stream");
              headers.set("X-Request-Id", attemptId);
            })
        .post()
        .uri("http://" + dispatch.address() + COMPLETIONS_PATH)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response(
            (response, bytes) ->
                read(dispatch.targetId(), attemptId, 0, response, bytes, readAhead))
        .transform(timeout::applyTo)
        .onErrorMap(thrown -> TargetFailures.classify(dispatch.targetId(), thrown));
  }

  /**
   * Resumes reading a generation.
   *
   * @param targetId the ID of the engine
   * @param address the address of the engine
   * @param attemptId the attempt that identifies the generation
   * @param afterSequence the sequence number of the last received token; 0 if there is none
   * @return the parts after that token; fails with {@link RequestFailedException}
   */
  public Flux<AnswerPart> resume(
      String targetId, String address, String attemptId, long afterSequence) {
    ResponseConnection connection = new ResponseConnection();
    IdleTimeout timeout = new IdleTimeout(idleTimeout, connection);
    ReadAheadLimit readAhead = new ReadAheadLimit(connection);
    return connection
        .recordFrom(streams)
        .headers(headers -> headers.set("Last-Event-ID", Long.toString(afterSequence)))
        .get()
        .uri("http://" + address + COMPLETIONS_PATH + "/chatcmpl-" + attemptId)
        .response(
            (response, bytes) ->
                read(targetId, attemptId, afterSequence, response, bytes, readAhead))
        .transform(timeout::applyTo)
        .onErrorMap(thrown -> toResumeFailure(targetId, thrown));
  }

  /**
   * Cancels a generation.
   *
   * @param targetId the ID of the engine
   * @param address the address of the engine
   * @param attemptId the attempt that identifies the generation
   * @return true if the engine cancelled the generation; false if it does not know it; fails with
   *     {@link RequestFailedException} if it gave neither answer
   */
  public Mono<Boolean> cancel(String targetId, String address, String attemptId) {
    return control
        .responseTimeout(CONTROL_TIMEOUT)
        .delete()
        .uri("http://" + address + COMPLETIONS_PATH + "/chatcmpl-" + attemptId)
        .response()
        .timeout(CONTROL_TIMEOUT)
        .map(response -> isCancelled(targetId, response.status().code()))
        .onErrorMap(thrown -> TargetFailures.classify(targetId, thrown));
  }

  /**
   * Queries the load of an engine.
   *
   * @param address the address of the engine
   * @return the load report
   */
  public Mono<EngineLoad> load(String address) {
    return control
        .responseTimeout(CONTROL_TIMEOUT)
        .get()
        .uri("http://" + address + "/load")
        .response((response, bytes) -> collect(bytes, MAX_LOAD_REPORT_BYTES))
        .single()
        .timeout(CONTROL_TIMEOUT)
        .map(EngineClient::parseLoad);
  }

  private static boolean isCancelled(String targetId, int status) {
    boolean cancelled = status / 100 == 2;
    if (!cancelled && status != 404) {
      throw TargetFailures.failure(
          Verdict.MAY_HAVE_RUN,
          Reason.TARGET_FAILED,
          "target " + targetId + " responded to the cancellation with status " + status);
    }
    return cancelled;
  }

  private static EngineLoad parseLoad(byte[] bytes) {
    try {
      return Json.mapper().readValue(bytes, EngineLoad.class);
    } catch (IOException e) {
      throw new IllegalStateException("a load report cannot be parsed: " + e.getMessage(), e);
    }
  }

  private static Flux<AnswerPart> read(
      String targetId,
      String attemptId,
      long afterSequence,
      HttpClientResponse response,
      Flux<ByteBuf> bytes,
      ReadAheadLimit readAhead) {
    int status = response.status().code();
    if (status != 200) {
      return collect(bytes, MAX_ERROR_BYTES)
          .map(body -> new String(body, StandardCharsets.UTF_8))
          .flatMapMany(text -> Flux.error(toFailure(targetId, status, text)));
    }
    // A buffer is released after its onNext signal, so it must be decoded within the signal.
    EngineSseDecoder decoder = new EngineSseDecoder();
    GenerationReader reader = new GenerationReader(targetId, attemptId, afterSequence);
    return readAhead
        .applyTo(bytes.map(buffer -> reader.read(decoder.decode(buffer))))
        // Delays a failure, which would otherwise overtake tokens that wait for demand.
        .concatMapDelayError(Flux::fromIterable, BUFFER_PREFETCH)
        .concatWith(Flux.defer(reader::failIfIncomplete));
  }

  /** Collects a body; fails as soon as it is longer than the given number of bytes. */
  private static Mono<byte[]> collect(Flux<ByteBuf> bytes, int maxBytes) {
    return bytes
        .collect(
            ByteArrayOutputStream::new,
            (body, part) -> {
              if (body.size() + part.readableBytes() > maxBytes) {
                throw new IllegalStateException(
                    "the response body is longer than " + maxBytes + " bytes");
              }
              body.writeBytes(ByteBufUtil.getBytes(part));
            })
        .map(ByteArrayOutputStream::toByteArray);
  }

  private static RuntimeException toFailure(String targetId, int status, String text) {
    String message =
        "target " + targetId + " responded with status " + status + ": " + abbreviate(text);
    // Only 400 and 503 are specified to precede the start of a generation.
    Verdict verdict = status == 400 || status == 503 ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    return TargetFailures.failure(verdict, toReason(status), message);
  }

  private static Reason toReason(int status) {
    return switch (status) {
      case 429, 503 -> Reason.NO_CAPACITY;
      case 404 -> Reason.NOT_FOUND;
      case 408, 409, 421, 425 -> Reason.TARGET_FAILED;
      default -> status / 100 == 4 ? Reason.BAD_REQUEST : Reason.TARGET_FAILED;
    };
  }

  private static String abbreviate(String text) {
    return text.length() <= 200 ? text : text.substring(0, 200) + "…";
  }

  private static RuntimeException toResumeFailure(String targetId, Throwable thrown) {
    if (thrown instanceof RequestFailedException failure
        && failure.verdict() == Verdict.MAY_HAVE_RUN) {
      return failure;
    }
    return TargetFailures.failure(
        Verdict.MAY_HAVE_RUN,
        Reason.TARGET_FAILED,
        "the generation could not be resumed at target " + targetId + ": " + thrown.getMessage());
  }

  private static byte[] prepareBody(byte[] body, int priority) {
    try {
      ObjectNode tree = (ObjectNode) Json.mapper().readTree(body);
      tree.put("stream", true);
      tree.put("priority", priority);
      tree.putObject("stream_options").put("include_usage", true);
      return Json.mapper().writeValueAsBytes(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "the request body is not valid JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "the request body is not valid JSON: " + e.getMessage(), e);
    }
  }

  /** Converts the events of a stream to answer parts and verifies that the stream is complete. */
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

    private List<AnswerPart> read(List<EventBlock> blocks) {
      return blocks.stream().flatMap(block -> read(block).stream()).toList();
    }

    private Optional<AnswerPart> read(EventBlock block) {
      boolean end = !block.ambiguousLineEnd() && block.fields().equals(DONE_FIELDS);
      if (end && !ended) {
        ended = true;
        return Optional.of(new AnswerPart.End((int) sequence));
      }
      BlockReading reading = FORMAT.read(block, sequence);
      if (reading.fault().isPresent()) {
        throw invalid(reading.fault().get().label(), block);
      }
      if (reading.kind() == BlockReading.Kind.FILLER) {
        return Optional.empty();
      }
      String data = String.join("\n", block.valuesOf("data"));
      if (ended) {
        throw invalid("event behind the end", block);
      }
      if (data.isEmpty() || data.equals(DONE_DATA)) {
        throw invalid(StreamFault.INVALID_VALUE.label(), block);
      }
      if (reading.kind() == BlockReading.Kind.REPEATED) {
        return Optional.empty();
      }
      sequence = reading.eventId();
      // The values of a block have one character for each byte.
      byte[] payload = data.getBytes(StandardCharsets.ISO_8859_1);
      return Optional.of(new AnswerPart.Data(targetId, attemptId, sequence, payload));
    }

    private RuntimeException invalid(String fault, EventBlock block) {
      return TargetFailures.failure(
          Verdict.MAY_HAVE_RUN,
          Reason.TARGET_FAILED,
          "the stream of target "
              + targetId
              + " is invalid ("
              + fault
              + "): "
              + block.describeStart());
    }

    private Flux<AnswerPart> failIfIncomplete() {
      if (ended) {
        return Flux.empty();
      }
      return Flux.error(
          TargetFailures.failure(
              Verdict.MAY_HAVE_RUN,
              Reason.TARGET_FAILED,
              "target " + targetId + " closed the stream before the answer was complete"));
    }
  }
}
