package org.sequoiareach.daemon.caller;

import java.util.List;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.PendingRequest;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.sheet.ModelEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles new completions: {@code POST /v1/chat/completions}. */
final class CompletionHandler {

  /** The typical length of a token, used to estimate prompts that no engine has tokenised yet. */
  private static final int CHARS_PER_TOKEN = 4;

  private final PlatformDirectory directory;
  private final RequestSubmitter submitter;
  private final RequestIdGenerator ids;
  private final BodyReader bodies;
  private final DeadlineResolver deadlines;

  CompletionHandler(
      PlatformDirectory directory,
      RequestSubmitter submitter,
      RequestIdGenerator ids,
      BodyReader bodies,
      DeadlineResolver deadlines) {
    this.directory = directory;
    this.submitter = submitter;
    this.ids = ids;
    this.bodies = bodies;
    this.deadlines = deadlines;
  }

  Publisher<Void> create(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("Authorization");
    Optional<OrganisationEntry> organisation = directory.findOrganisation(key);
    if (organisation.isEmpty()) {
      return ErrorResponses.writeOpenAi(response, AuthenticationFailures.of(directory));
    }
    return bodies
        .read(request)
        .flatMap(body -> Mono.from(submit(request, response, organisation.get(), body)))
        .onErrorResume(
            thrown ->
                Mono.from(ErrorResponses.writeOpenAi(response, RequestFailures.classify(thrown))));
  }

  private Publisher<Void> submit(
      HttpServerRequest request,
      HttpServerResponse response,
      OrganisationEntry organisation,
      byte[] body) {
    CallerCompletionRequest completion = CallerCompletionRequest.parse(body);
    RequestSpec spec = toSpec(completion, organisation);
    RequestContent content = new RequestContent("POST", "/v1/chat/completions", List.of(), body);
    PendingRequest pending = new PendingRequest(spec, content);
    long deadlineMs = deadlines.resolve(request);
    response.header("X-Request-Id", spec.requestId());
    CompletionWriter writer = new CompletionWriter(organisation, completion.usageWanted());
    if (completion.streamed()) {
      return writer.writeStream(response, submitter.submit(pending, deadlineMs));
    }
    return writer.writeWhole(response, submitter.submit(pending, deadlineMs));
  }

  private RequestSpec toSpec(CallerCompletionRequest completion, OrganisationEntry organisation) {
    ModelEntry model =
        directory
            .findSheet()
            .flatMap(sheet -> sheet.findModel(completion.model()))
            .filter(found -> organisation.models().contains(found.name()))
            .orElseThrow(() -> unknownModel(completion.model()));
    int promptTokens = Math.max(1, completion.prompt().length() / CHARS_PER_TOKEN);
    int maxAnswerTokens = model.contextTokens() - promptTokens;
    if (maxAnswerTokens < 1) {
      String message =
          "the prompt of about "
              + promptTokens
              + " tokens leaves no room for an answer in the context of "
              + model.contextTokens()
              + " tokens of model '"
              + model.name()
              + "'";
      throw Refusals.of(Reason.TOO_LARGE, message);
    }
    int maxTokens =
        completion.maxTokens() == 0
            ? maxAnswerTokens
            : Math.min(maxAnswerTokens, completion.maxTokens());
    return new RequestSpec(
        ids.next(),
        organisation.id(),
        RequestKind.GENERATION,
        model.name(),
        completion.callClass(),
        true,
        "",
        promptTokens,
        maxTokens,
        PrefixDigests.of(completion.prompt()),
        completion.streamed());
  }

  private static RuntimeException unknownModel(String name) {
    String message =
        "the model '" + name + "' does not exist or is not available to this organisation";
    return Refusals.of(Reason.NOT_FOUND, message);
  }
}
