package org.sequoiareach.load.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.reactivestreams.Publisher;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.settings.GenerationClass;
import org.sequoiareach.model.json.Json;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends chat completion requests, checks the answers token by token and resumes interrupted streams
 * as configured.
 */
final class GenerationSender implements RequestSender {

  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final int MAX_CONNECTIONS_PER_REQUEST = 8;
  private static final int OK = 200;

  private final HttpClient client;

  GenerationSender(HttpClient client) {
    this.client = client;
  }

  @Override
  public Mono<RequestResult> send(OutgoingRequest request) {
    GenerationClass generation = (GenerationClass) request.arrival().requestClass();
    int expected = Math.min(request.arrival().answerTokens(), generation.maxTokens());
    AnswerTracker answer = new AnswerTracker(request, expected);
    boolean drops = request.arrival().dropsConnection();
    int dropAfterTokens = drops ? generation.resume().afterTokens() : Integer.MAX_VALUE;
    return sendInitial(request, generation, answer, dropAfterTokens)
        .then(Mono.defer(() -> resumeUntilDone(request, generation, answer, 1)))
        .timeout(request.remainingTime())
        .doOnError(answer::onFailure)
        .onErrorResume(thrown -> cancel(request, answer))
        .then(Mono.fromSupplier(answer::result));
  }

  private Mono<Void> sendInitial(
      OutgoingRequest request,
      GenerationClass generation,
      AnswerTracker answer,
      int dropAfterTokens) {
    String body = writeBody(request, generation);
    Flux<Void> exchange =
        client
            .headers(request::setCommonHeaders)
            .headers(headers -> headers.set("Content-Type", "application/json"))
            .post()
            .uri(request.callerAddress(0) + COMPLETIONS_PATH)
            .send(ByteBufMono.fromString(Mono.just(body)))
            .response((response, content) -> read(response, content, answer, dropAfterTokens));
    return endOnConnectionLoss(exchange, generation, answer);
  }

  private Mono<Void> resumeUntilDone(
      OutgoingRequest request, GenerationClass generation, AnswerTracker answer, int attempt) {
    boolean ended = answer.done() || answer.finished() || answer.completionId().isEmpty();
    if (ended
        || attempt >= MAX_CONNECTIONS_PER_REQUEST
        || !mayResume(request, generation, attempt)) {
      return Mono.empty();
    }
    answer.skipNextGap();
    String uri =
        request.callerAddress(attempt) + COMPLETIONS_PATH + "/" + answer.completionId().get();
    Flux<Void> exchange =
        client
            .headers(request::setCommonHeaders)
            .headers(headers -> headers.set("Last-Event-ID", answer.lastEventId()))
            .get()
            .uri(uri)
            .response((response, content) -> read(response, content, answer, Integer.MAX_VALUE));
    return endOnConnectionLoss(exchange, generation, answer)
        .then(Mono.defer(() -> resumeUntilDone(request, generation, answer, attempt + 1)));
  }

  private static boolean mayResume(
      OutgoingRequest request, GenerationClass generation, int attempt) {
    boolean dropped = request.arrival().dropsConnection() && attempt == 1;
    return dropped || generation.resume().onConnectionLoss();
  }

  /** Treats a lost connection as the end of the stream if the class resumes lost connections. */
  private static Mono<Void> endOnConnectionLoss(
      Flux<Void> exchange, GenerationClass generation, AnswerTracker answer) {
    if (!generation.resume().onConnectionLoss()) {
      return exchange.then();
    }
    return exchange
        .then()
        .onErrorResume(
            IOException.class,
            thrown -> answer.completionId().isPresent() ? Mono.empty() : Mono.error(thrown));
  }

  private static Publisher<Void> read(
      HttpClientResponse response, ByteBufFlux content, AnswerTracker answer, int dropAfterTokens) {
    if (response.status().code() != OK) {
      return readText(content)
          .doOnNext(text -> answer.onErrorResponse(toErrorResponse(response, text)))
          .then();
    }
    String type = response.responseHeaders().get("Content-Type", "");
    if (!type.startsWith("text/event-stream")) {
      return readText(content).doOnNext(answer::onCompleteResponse).then();
    }
    SseDecoder decoder = new SseDecoder();
    return content
        .asByteArray()
        .doOnNext(bytes -> handleEvents(decoder, bytes, answer))
        .takeUntil(bytes -> !answer.finished() && answer.tokens() >= dropAfterTokens)
        .then();
  }

  private static void handleEvents(SseDecoder decoder, byte[] bytes, AnswerTracker answer) {
    long nowNs = System.nanoTime();
    for (SseEvent event : decoder.feed(bytes)) {
      answer.onEvent(event, nowNs);
    }
  }

  /** Cancels the generation of a failed request, so that it does not keep using an engine. */
  private Mono<Void> cancel(OutgoingRequest request, AnswerTracker answer) {
    if (answer.completionId().isEmpty()) {
      return Mono.empty();
    }
    return client
        .headers(request::setCommonHeaders)
        .delete()
        .uri(request.callerAddress(0) + COMPLETIONS_PATH + "/" + answer.completionId().get())
        .response()
        .then()
        .onErrorResume(thrown -> Mono.empty());
  }

  private static Mono<String> readText(ByteBufFlux content) {
    return content
        .aggregate()
        .asByteArray()
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
        .defaultIfEmpty("");
  }

  private static ErrorResponse toErrorResponse(HttpClientResponse response, String text) {
    return ErrorResponse.ofHttpResponse(response.status().code(), response.responseHeaders(), text);
  }

  private static String writeBody(OutgoingRequest request, GenerationClass generation) {
    try {
      return Json.mapper()
          .writeValueAsString(
              CompletionBody.create(request.requestId(), request.arrival(), generation));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
