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

/** Sends generations, checks their answers token by token and resumes them where it is asked to. */
final class GenerationSender implements RequestSender {

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final int MOST_CONNECTIONS = 8;
  private static final int OK = 200;

  private final HttpClient client;

  GenerationSender(HttpClient client) {
    this.client = client;
  }

  @Override
  public Mono<RequestResult> send(OutgoingRequest request) {
    GenerationClass generation = (GenerationClass) request.arrival().requestClass();
    int expected = Math.min(request.arrival().answerTokens(), generation.maxTokens());
    AnswerState state = new AnswerState(request, expected);
    boolean drops = request.arrival().dropsConnection();
    int dropAfter = drops ? generation.resume().afterTokens() : Integer.MAX_VALUE;
    return ask(request, generation, state, dropAfter)
        .then(Mono.defer(() -> resumeWhileCut(request, generation, state, 1)))
        .timeout(request.timeLeft())
        .doOnError(state::onFailure)
        .onErrorResume(thrown -> cancel(request, state))
        .then(Mono.fromSupplier(state::result));
  }

  private Mono<Void> ask(
      OutgoingRequest request, GenerationClass generation, AnswerState state, int dropAfter) {
    String body = write(request, generation);
    Flux<Void> asked =
        client
            .headers(request::setCommonHeaders)
            .headers(headers -> headers.set("Content-Type", "application/json"))
            .post()
            .uri(request.caller(0) + COMPLETIONS)
            .send(ByteBufMono.fromString(Mono.just(body)))
            .response((response, content) -> read(response, content, state, dropAfter));
    return tolerateCut(asked, generation, state);
  }

  private Mono<Void> resumeWhileCut(
      OutgoingRequest request, GenerationClass generation, AnswerState state, int attempt) {
    boolean over = state.done() || state.finished() || state.completionId().isEmpty();
    if (over || attempt >= MOST_CONNECTIONS || !mayResume(request, generation, attempt)) {
      return Mono.empty();
    }
    state.pauseTimings();
    String uri = request.caller(attempt) + COMPLETIONS + "/" + state.completionId().get();
    Flux<Void> resumed =
        client
            .headers(request::setCommonHeaders)
            .headers(headers -> headers.set("Last-Event-ID", state.lastEventId()))
            .get()
            .uri(uri)
            .response((response, content) -> read(response, content, state, Integer.MAX_VALUE));
    return tolerateCut(resumed, generation, state)
        .then(Mono.defer(() -> resumeWhileCut(request, generation, state, attempt + 1)));
  }

  private static boolean mayResume(
      OutgoingRequest request, GenerationClass generation, int attempt) {
    boolean dropped = request.arrival().dropsConnection() && attempt == 1;
    return dropped || generation.resume().onConnectionLoss();
  }

  /** Takes a broken connection as the end of the stream where it will be resumed. */
  private static Mono<Void> tolerateCut(
      Flux<Void> exchange, GenerationClass generation, AnswerState state) {
    if (!generation.resume().onConnectionLoss()) {
      return exchange.then();
    }
    return exchange
        .then()
        .onErrorResume(
            IOException.class,
            thrown -> state.completionId().isPresent() ? Mono.empty() : Mono.error(thrown));
  }

  private static Publisher<Void> read(
      HttpClientResponse response, ByteBufFlux content, AnswerState state, int dropAfter) {
    if (response.status().code() != OK) {
      return readText(content).doOnNext(text -> state.onRefusal(toRefusal(response, text))).then();
    }
    String type = response.responseHeaders().get("Content-Type", "");
    if (!type.startsWith("text/event-stream")) {
      return readText(content).doOnNext(state::onWholeAnswer).then();
    }
    SseDecoder decoder = new SseDecoder();
    return content
        .asByteArray()
        .doOnNext(bytes -> takeEvents(decoder, bytes, state))
        .takeUntil(bytes -> !state.finished() && state.tokens() >= dropAfter)
        .then();
  }

  private static void takeEvents(SseDecoder decoder, byte[] bytes, AnswerState state) {
    long nowNs = System.nanoTime();
    for (SseEvent event : decoder.feed(bytes)) {
      state.onEvent(event, nowNs);
    }
  }

  /** Tells the system that a caller gave up, so that its generation does not go on for nobody. */
  private Mono<Void> cancel(OutgoingRequest request, AnswerState state) {
    if (state.completionId().isEmpty()) {
      return Mono.empty();
    }
    return client
        .headers(request::setCommonHeaders)
        .delete()
        .uri(request.caller(0) + COMPLETIONS + "/" + state.completionId().get())
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

  private static Refusal toRefusal(HttpClientResponse response, String text) {
    return Refusal.ofResponse(response.status().code(), response.responseHeaders(), text);
  }

  private static String write(OutgoingRequest request, GenerationClass generation) {
    try {
      return Json.mapper()
          .writeValueAsString(
              CompletionBody.create(request.requestId(), request.arrival(), generation));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
