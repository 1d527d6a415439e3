package org.sequoiareach.daemon.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.daemon.target.EngineClient;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.util.retry.Retry;

/**
 * Resumes and cancels generations by their completion ID, on any daemon: {@code GET} and {@code
 * DELETE /v1/chat/completions/{id}}.
 *
 * <p>An unknown ID and an ID of another organisation get the same response, so that a caller cannot
 * find out which IDs exist.
 */
final class StoredCompletionHandler {

  private static final int MAX_RETRIES = 4;
  private static final Duration RETRY_BACKOFF = Duration.ofMillis(100);
  private static final Logger LOGGER = LogManager.getLogger("decisions");

  private final PlatformDirectory directory;
  private final EngineClient engines;

  StoredCompletionHandler(PlatformDirectory directory, EngineClient engines) {
    this.directory = directory;
    this.engines = engines;
  }

  Publisher<Void> resume(HttpServerRequest request, HttpServerResponse response) {
    Optional<OrganisationEntry> organisation = authenticate(request);
    if (organisation.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, AuthenticationFailures.of(directory));
    }
    Optional<Long> after = lastEventId(request);
    if (after.isEmpty()) {
      String message = "the header 'Last-Event-ID' must be an integer of at least 0";
      return ErrorResponses.writeOpenAi(response, Refusals.of(Reason.BAD_REQUEST, message));
    }
    Optional<LocatedCompletion> located = locate(request, organisation.get());
    if (located.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, notFound());
    }
    logDecision("resume", organisation.get(), located.get());
    CompletionWriter writer = new CompletionWriter(organisation.get(), true);
    return writer.writeStream(response, resumeWithRetries(located.get(), after.get()));
  }

  Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    Optional<OrganisationEntry> organisation = authenticate(request);
    if (organisation.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, AuthenticationFailures.of(directory));
    }
    Optional<LocatedCompletion> located = locate(request, organisation.get());
    if (located.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, notFound());
    }
    logDecision("cancel", organisation.get(), located.get());
    LocatedCompletion completion = located.get();
    return engines
        .cancel(completion.target.id(), completion.target.address(), completion.id.attemptId())
        .flatMap(
            found ->
                found
                    ? response.status(HttpResponseStatus.NO_CONTENT).send()
                    : Mono.from(ErrorResponses.writeOpenAi(response, notFound())))
        .onErrorResume(
            thrown ->
                Mono.from(ErrorResponses.writeOpenAi(response, RequestFailures.classify(thrown))));
  }

  private Flux<AnswerPart> resumeWithRetries(LocatedCompletion located, long after) {
    AtomicLong lastSequence = new AtomicLong(after);
    String attemptId = located.id.attemptId();
    return Flux.defer(
            () ->
                engines.resume(
                    located.target.id(), located.target.address(), attemptId, lastSequence.get()))
        .doOnNext(part -> recordSequence(lastSequence, part))
        .retryWhen(
            Retry.backoff(MAX_RETRIES, RETRY_BACKOFF)
                .filter(StoredCompletionHandler::isLostConnection)
                .onRetryExhaustedThrow((spec, signal) -> signal.failure()));
  }

  private static void recordSequence(AtomicLong lastSequence, AnswerPart part) {
    if (part instanceof AnswerPart.Data data) {
      lastSequence.set(data.sequence());
    }
  }

  private static boolean isLostConnection(Throwable thrown) {
    return RequestFailures.classify(thrown).reason() == Reason.TARGET_FAILED;
  }

  private Optional<OrganisationEntry> authenticate(HttpServerRequest request) {
    return directory.findOrganisation(request.requestHeaders().get("Authorization"));
  }

  private Optional<LocatedCompletion> locate(
      HttpServerRequest request, OrganisationEntry organisation) {
    return CompletionId.parse(String.valueOf(request.param("id")), organisation)
        .flatMap(id -> directory.findVm(id.targetId()).map(vm -> new LocatedCompletion(id, vm)));
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

  /** Returns the failure for an unknown ID; a generation that it once named may have run. */
  private static RequestFailedException notFound() {
    return new RequestFailedException(
        Verdict.MAY_HAVE_RUN,
        Reason.NOT_FOUND,
        "the completion does not exist or is no longer stored",
        OptionalLong.empty());
  }

  private static void logDecision(
      String decision, OrganisationEntry organisation, LocatedCompletion located) {
    LOGGER.info(
        new StringMapMessage()
            .with("decision", decision + "-stored")
            .with("request", located.id.attemptId())
            .with("organisation", organisation.id())
            .with("target", located.target.id())
            .with("reason", "the completion ID names the target"));
  }

  /** A completion and the target that stores its generation. */
  private record LocatedCompletion(CompletionId id, VmEntry target) {}
}
