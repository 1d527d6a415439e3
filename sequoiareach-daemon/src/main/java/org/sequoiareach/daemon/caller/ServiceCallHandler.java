package org.sequoiareach.daemon.caller;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.PendingRequest;
import org.sequoiareach.daemon.attempt.RequestFailures;
import org.sequoiareach.daemon.target.ServiceClient;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestKind;
import org.sequoiareach.model.request.RequestSpec;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.sheet.OperationEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.peer.Header;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Handles service calls: requests of any method to {@code /services/{service}/{path}}. */
final class ServiceCallHandler {

  private static final String PREFIX = "/services/";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final int MAX_IDEMPOTENCY_KEY_CHARS = 200;

  private final PlatformDirectory directory;
  private final RequestSubmitter submitter;
  private final RequestIdGenerator ids;
  private final BodyReader bodies;
  private final DeadlineResolver deadlines;

  ServiceCallHandler(
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

  static boolean matches(HttpServerRequest request) {
    return request.uri().startsWith(PREFIX);
  }

  Publisher<Void> call(HttpServerRequest request, HttpServerResponse response) {
    String key = request.requestHeaders().get("Authorization");
    Optional<OrganisationEntry> organisation = directory.findOrganisation(key);
    if (organisation.isEmpty()) {
      return ErrorResponses.writeProblem(response, AuthenticationFailures.of(directory));
    }
    return bodies
        .read(request)
        .flatMap(body -> submit(request, response, organisation.get(), body))
        .onErrorResume(thrown -> fail(response, thrown));
  }

  /** Reports a failure to the caller, or cuts the connection if the answer has begun. */
  private static Mono<Void> fail(HttpServerResponse response, Throwable thrown) {
    if (response.hasSentHeaders()) {
      return Mono.error(thrown);
    }
    return Mono.from(ErrorResponses.writeProblem(response, RequestFailures.classify(thrown)));
  }

  private Mono<Void> submit(
      HttpServerRequest request,
      HttpServerResponse response,
      OrganisationEntry organisation,
      byte[] body) {
    String rest = request.uri().substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    RequestSpec spec = toSpec(request, organisation, service, path);
    RequestContent content =
        new RequestContent(request.method().name(), path, forwardedHeaders(request), body);
    PendingRequest pending = new PendingRequest(spec, content);
    response.header("X-Request-Id", spec.requestId());
    Flux<AnswerPart> answer = submitter.submit(pending, deadlines.resolve(request));
    return answer
        .switchOnFirst(
            (first, parts) -> {
              if (first.get() instanceof AnswerPart.Head head) {
                writeHead(response, head);
                return response.sendByteArray(
                    parts.ofType(AnswerPart.Data.class).map(AnswerPart.Data::payload));
              }
              return ErrorResponses.writeProblem(
                  response, RequestFailures.classify(first.getThrowable()));
            })
        .then();
  }

  private RequestSpec toSpec(
      HttpServerRequest request, OrganisationEntry organisation, String service, String path) {
    int query = path.indexOf('?');
    String pathOnly = query < 0 ? path : path.substring(0, query);
    OperationEntry operation =
        directory
            .findSheet()
            .filter(sheet -> organisation.services().contains(service))
            .flatMap(sheet -> sheet.findService(service))
            .flatMap(entry -> entry.findOperation(request.method().name(), pathOnly))
            .orElseThrow(() -> unknownOperation(request.method().name(), service, pathOnly));
    return new RequestSpec(
        ids.next(),
        organisation.id(),
        RequestKind.SERVICE_CALL,
        service,
        operation.path(),
        operation.repeatable(),
        idempotencyKey(request),
        0,
        0,
        List.of(),
        false);
  }

  private static String idempotencyKey(HttpServerRequest request) {
    String key = request.requestHeaders().get(IDEMPOTENCY_KEY_HEADER);
    if (key == null || key.isBlank()) {
      return "";
    }
    if (key.length() > MAX_IDEMPOTENCY_KEY_CHARS) {
      String message =
          "'"
              + IDEMPOTENCY_KEY_HEADER
              + "' has "
              + key.length()
              + " characters; the maximum is "
              + MAX_IDEMPOTENCY_KEY_CHARS;
      throw Refusals.of(Reason.BAD_REQUEST, message);
    }
    return key.trim();
  }

  private static List<Header> forwardedHeaders(HttpServerRequest request) {
    List<Header> passed = new ArrayList<>();
    request
        .requestHeaders()
        .forEach(
            field -> {
              if (ServiceClient.isForwarded(field.getKey())) {
                passed.add(new Header(field.getKey(), field.getValue()));
              }
            });
    return passed;
  }

  private static void writeHead(HttpServerResponse response, AnswerPart.Head head) {
    response.status(HttpResponseStatus.valueOf(head.status()));
    for (Header field : head.headers()) {
      if (!field.name().toLowerCase(Locale.ROOT).startsWith("sequoiareach-")) {
        response.addHeader(field.name(), field.value());
      }
    }
    response.header(ErrorResponses.VERDICT_HEADER, Verdict.RAN.label());
  }

  private static RuntimeException unknownOperation(String method, String service, String path) {
    String message =
        method
            + " "
            + path
            + " of service '"
            + service
            + "' does not exist or is not available to this organisation";
    return Refusals.of(Reason.NOT_FOUND, message);
  }
}
