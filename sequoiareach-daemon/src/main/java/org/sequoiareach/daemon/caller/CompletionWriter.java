package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes the answer of a generation to its caller, either streamed or as a single body. */
final class CompletionWriter {

  private static final String DONE_EVENT = "data: [DONE]\n\n";

  private final OrganisationEntry organisation;
  private final boolean usageWanted;

  CompletionWriter(OrganisationEntry organisation, boolean usageWanted) {
    this.organisation = organisation;
    this.usageWanted = usageWanted;
  }

  /**
   * Writes the answer as server-sent events. A failure before the first part becomes an error
   * response, and a later one an error event that ends the stream.
   */
  Publisher<Void> writeStream(HttpServerResponse response, Flux<AnswerPart> answer) {
    return answer
        .switchOnFirst(
            (first, parts) -> {
              if (first.isOnError()) {
                return ErrorResponses.writeOpenAi(
                    response, RequestFailures.classify(first.getThrowable()));
              }
              response.header("Content-Type", "text/event-stream; charset=utf-8");
              response.header("Cache-Control", "no-cache");
              response.header(ErrorResponses.VERDICT_HEADER, Verdict.RAN.label());
              return response.send(toEvents(parts), buffer -> true);
            })
        .cast(Void.class);
  }

  /** Converts parts to server-sent events; a failure becomes the last event. */
  Flux<ByteBuf> toEvents(Flux<AnswerPart> parts) {
    return parts
        // Holds nothing back: a failure would overtake tokens that wait for demand.
        .<ByteBuf>handle((part, sink) -> toEvent(part).ifPresent(sink::next))
        .onErrorResume(thrown -> Mono.just(toErrorEvent(thrown)));
  }

  /** Writes the answer as a single body once its last part has been received. */
  Publisher<Void> writeWhole(HttpServerResponse response, Flux<AnswerPart> answer) {
    return answer
        .collect(CompletionAggregator::new, CompletionAggregator::add)
        .map(
            completion ->
                ErrorResponses.toBytes(
                    completion.build(formatId(completion.targetId(), completion.attemptId()))))
        .flatMap(
            body -> {
              response.header("Content-Type", "application/json");
              response.header(ErrorResponses.VERDICT_HEADER, Verdict.RAN.label());
              return response.sendByteArray(Mono.just(body)).then();
            })
        .onErrorResume(
            thrown ->
                Mono.from(ErrorResponses.writeOpenAi(response, RequestFailures.classify(thrown))));
  }

  private Optional<ByteBuf> toEvent(AnswerPart part) {
    if (part instanceof AnswerPart.End) {
      return Optional.of(toBuffer(DONE_EVENT));
    }
    if (!(part instanceof AnswerPart.Data data)) {
      return Optional.empty();
    }
    ObjectNode chunk = parse(data.payload());
    if (!usageWanted && isUsageOnly(chunk)) {
      return Optional.empty();
    }
    chunk.put("id", formatId(data.targetId(), data.attemptId()));
    String json = new String(ErrorResponses.toBytes(chunk), StandardCharsets.UTF_8);
    return Optional.of(toBuffer("id: " + data.sequence() + "\ndata: " + json + "\n\n"));
  }

  private String formatId(String targetId, String attemptId) {
    return new CompletionId(targetId, attemptId).format(organisation);
  }

  private static ByteBuf toErrorEvent(Throwable thrown) {
    ObjectNode body = ErrorResponses.openAiBody(RequestFailures.classify(thrown));
    String json = new String(ErrorResponses.toBytes(body), StandardCharsets.UTF_8);
    return toBuffer("data: " + json + "\n\n");
  }

  private static boolean isUsageOnly(ObjectNode chunk) {
    JsonNode choices = chunk.path("choices");
    return choices.isArray() && choices.isEmpty();
  }

  private static ObjectNode parse(byte[] payload) {
    try {
      return (ObjectNode) Json.mapper().readTree(payload);
    } catch (IOException e) {
      throw new IllegalStateException("a chunk from the target is not valid JSON", e);
    }
  }

  private static ByteBuf toBuffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
