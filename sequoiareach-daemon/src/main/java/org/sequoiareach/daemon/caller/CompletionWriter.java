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
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes the answer of a generation to its caller, as a stream or whole. */
final class CompletionWriter {

  private static final String DONE = "data: [DONE]\n\n";

  private final OrganisationEntry organisation;
  private final boolean usageWanted;

  CompletionWriter(OrganisationEntry organisation, boolean usageWanted) {
    this.organisation = organisation;
    this.usageWanted = usageWanted;
  }

  /** Writes a stream; a failure before the first token becomes an error response. */
  Publisher<Void> stream(HttpServerResponse response, Flux<AnswerPart> answer) {
    return answer
        .switchOnFirst(
            (first, parts) -> {
              if (first.isOnError()) {
                return ErrorResponses.openAi(response, Failures.classify(first.getThrowable()));
              }
              response.header("Content-Type", "text/event-stream; charset=utf-8");
              response.header("Cache-Control", "no-cache");
              response.header(ErrorResponses.VERDICT_HEADER, Verdict.RAN.label());
              Flux<ByteBuf> events =
                  parts
                      .concatMap(part -> Mono.justOrEmpty(event(part)), 1)
                      .onErrorResume(thrown -> Mono.just(errorEvent(thrown)));
              return response.send(events, buffer -> true);
            })
        .cast(Void.class);
  }

  /** Writes a whole answer once its last part has come. */
  Publisher<Void> whole(HttpServerResponse response, Flux<AnswerPart> answer) {
    return answer
        .collect(WholeAnswer::new, WholeAnswer::add)
        .map(whole -> ErrorResponses.bytes(whole.build(id(whole.targetId(), whole.attemptId()))))
        .flatMap(
            body -> {
              response.header("Content-Type", "application/json");
              response.header(ErrorResponses.VERDICT_HEADER, Verdict.RAN.label());
              return response.sendByteArray(Mono.just(body)).then();
            })
        .onErrorResume(
            thrown -> Mono.from(ErrorResponses.openAi(response, Failures.classify(thrown))));
  }

  private Optional<ByteBuf> event(AnswerPart part) {
    if (part instanceof AnswerPart.End) {
      return Optional.of(text(DONE));
    }
    if (!(part instanceof AnswerPart.Data data)) {
      return Optional.empty();
    }
    ObjectNode chunk = parse(data.payload());
    if (!usageWanted && isUsageOnly(chunk)) {
      return Optional.empty();
    }
    chunk.put("id", id(data.targetId(), data.attemptId()));
    String json = new String(ErrorResponses.bytes(chunk), StandardCharsets.UTF_8);
    return Optional.of(text("id: " + data.sequence() + "\ndata: " + json + "\n\n"));
  }

  private String id(String targetId, String attemptId) {
    return new CompletionId(targetId, attemptId).format(organisation);
  }

  private static ByteBuf errorEvent(Throwable thrown) {
    ObjectNode envelope = ErrorResponses.envelope(Failures.classify(thrown));
    String json = new String(ErrorResponses.bytes(envelope), StandardCharsets.UTF_8);
    return text("data: " + json + "\n\n");
  }

  private static boolean isUsageOnly(ObjectNode chunk) {
    JsonNode choices = chunk.path("choices");
    return choices.isArray() && choices.isEmpty();
  }

  private static ObjectNode parse(byte[] payload) {
    try {
      return (ObjectNode) Json.mapper().readTree(payload);
    } catch (IOException e) {
      throw new IllegalStateException("the target sent a chunk that is not JSON", e);
    }
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
