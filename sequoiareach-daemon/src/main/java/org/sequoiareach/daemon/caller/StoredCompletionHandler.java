package org.sequoiareach.daemon.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.util.retry.Retry;

/**
 * Resumes and cancels generations by the id their caller was given, on any daemon: {@code GET} and
 * {@code DELETE /v1/chat/completions/{id}}.
 *
 * <p>An id that does not exist and one of another organisation get the same answer.
 */
final class StoredCompletionHandler {

  private static final int MAX_RETRIES = 4;
  private static final Duration RETRY_BACKOFF = Duration.ofMillis(100);
  private static final Logger LOGGER = LogManager.getLogger("decisions");

  private final KeyDirectory keys;
  private final EngineClient engines;

  StoredCompletionHandler(KeyDirectory keys, EngineClient engines) {
    this.keys = keys;
    this.engines = engines;
  }

  Publisher<Void> resume(HttpServerRequest request, HttpServerResponse response) {
    Optional<OrganisationEntry> organisation = authenticate(request);
    if (organisation.isEmpty()) {
      return ErrorResponses.openAi(response, KeyRefusal.of(keys));
    }
    Optional<Long> after = lastEventId(request);
    if (after.isEmpty()) {
      String message = "'Last-Event-ID' must be a whole number from 0";
      return ErrorResponses.openAi(response, Refusals.of(Reason.BAD_REQUEST, message));
    }
    Optional<Located> located = locate(request, organisation.get());
    if (located.isEmpty()) {
      return ErrorResponses.openAi(response, unknown());
    }
    log("resume", organisation.get(), located.get());
    CompletionWriter writer = new CompletionWriter(organisation.get(), true);
    return writer.stream(response, read(located.get(), after.get()));
  }

  Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    Optional<OrganisationEntry> organisation = authenticate(request);
    if (organisation.isEmpty()) {
      return ErrorResponses.openAi(response, KeyRefusal.of(keys));
    }
    Optional<Located> located = locate(request, organisation.get());
    if (located.isEmpty()) {
      return ErrorResponses.openAi(response, unknown());
    }
    log("cancel", organisation.get(), located.get());
    return engines
        .cancel(located.get().target.address(), located.get().id.attemptId())
        .flatMap(
            known ->
                known
                    ? response.status(HttpResponseStatus.NO_CONTENT).send()
                    : Mono.from(ErrorResponses.openAi(response, unknown())));
  }

  private Flux<AnswerPart> read(Located located, long after) {
    AtomicLong last = new AtomicLong(after);
    String attemptId = located.id.attemptId();
    return Flux.defer(
            () ->
                engines.resume(
                    located.target.id(), located.target.address(), attemptId, last.get()))
        .doOnNext(part -> advance(last, part))
        .retryWhen(
            Retry.backoff(MAX_RETRIES, RETRY_BACKOFF)
                .filter(StoredCompletionHandler::isLostConnection)
                .onRetryExhaustedThrow((spec, signal) -> signal.failure()));
  }

  private static void advance(AtomicLong last, AnswerPart part) {
    if (part instanceof AnswerPart.Data data) {
      last.set(data.sequence());
    }
  }

  private static boolean isLostConnection(Throwable thrown) {
    return Failures.classify(thrown).reason() == Reason.TARGET_FAILED;
  }

  private Optional<OrganisationEntry> authenticate(HttpServerRequest request) {
    return keys.findOrganisation(request.requestHeaders().get("Authorization"));
  }

  private Optional<Located> locate(HttpServerRequest request, OrganisationEntry organisation) {
    return CompletionId.parse(String.valueOf(request.param("id")), organisation)
        .flatMap(id -> keys.findVm(id.targetId()).map(vm -> new Located(id, vm)));
  }

  private static Optional<Long> lastEventId(HttpServerRequest request) {
    String text = request.requestHeaders().get("Last-Event-ID");
    if (text == null || text.isBlank()) {
      return Optional.of(0L);
    }
    try {
      return Optional.of(Long.parseLong(text.trim())).filter(value -> value >= 0);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static RequestFailedException unknown() {
    return Refusals.of(Reason.NOT_FOUND, "there is no such completion, or it is no longer kept");
  }

  private static void log(String decision, OrganisationEntry organisation, Located located) {
    LOGGER.info(
        new StringMapMessage()
            .with("decision", decision + "-stored")
            .with("request", located.id.attemptId())
            .with("organisation", organisation.id())
            .with("target", located.target.id())
            .with("reason", "the id names the target"));
  }

  /** Holds a generation and the target that keeps it. */
  private record Located(CompletionId id, VmEntry target) {}
}
