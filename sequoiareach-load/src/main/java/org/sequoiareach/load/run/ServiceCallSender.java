package org.sequoiareach.load.run;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.load.check.Fault;
import org.sequoiareach.load.check.FaultKind;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.Timings;
import org.sequoiareach.load.settings.ServiceCallClass;
import org.sequoiareach.model.request.Verdict;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends plain service calls. A call that must not be repeated carries its request id as idempotency
 * key; {@code {id}} in a path is replaced by the request id.
 */
final class ServiceCallSender implements RequestSender {

  private static final int FIRST_ERROR_STATUS = 400;
  private static final String ID_PLACEHOLDER = "{id}";

  private final HttpClient client;

  ServiceCallSender(HttpClient client) {
    this.client = client;
  }

  /**
   * The response to a service call.
   *
   * @param refusal the error; empty on success
   * @param verdict the execution verdict in the response header; empty if absent
   * @param body the response body
   */
  private record CallResponse(
      Optional<ErrorResponse> refusal, Optional<Verdict> verdict, String body) {}

  @Override
  public Mono<RequestResult> send(OutgoingRequest request) {
    ServiceCallClass call = (ServiceCallClass) request.arrival().requestClass();
    String path = call.path().replace(ID_PLACEHOLDER, request.requestId());
    String body = call.body().map(Object::toString).orElse("");
    return client
        .headers(headers -> setHeaders(headers, request, call))
        .request(HttpMethod.valueOf(call.method()))
        .uri(request.callerAddress(0) + path)
        .send(ByteBufMono.fromString(Mono.just(body)))
        .responseSingle((response, content) -> read(response, content))
        .timeout(request.remainingTime())
        .onErrorResume(thrown -> Mono.just(ofFailure(thrown)))
        .map(response -> toResult(request, call, response));
  }

  private static void setHeaders(
      HttpHeaders headers, OutgoingRequest request, ServiceCallClass call) {
    request.setCommonHeaders(headers);
    if (call.body().isPresent()) {
      headers.set("Content-Type", "application/json");
    }
    if (!call.repeatable()) {
      headers.set("Idempotency-Key", request.requestId());
    }
  }

  private static Mono<CallResponse> read(HttpClientResponse response, ByteBufMono content) {
    int status = response.status().code();
    return content
        .asByteArray()
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
        .defaultIfEmpty("")
        .map(
            text -> {
              ErrorResponse error =
                  ErrorResponse.ofHttpResponse(status, response.responseHeaders(), text);
              boolean failed = status >= FIRST_ERROR_STATUS;
              return new CallResponse(
                  failed ? Optional.of(error) : Optional.empty(), error.verdict(), text);
            });
  }

  private static CallResponse ofFailure(Throwable thrown) {
    ErrorResponse refusal = ErrorResponse.ofFailure(FailureReasons.reasonOf(thrown));
    return new CallResponse(Optional.of(refusal), Optional.empty(), "");
  }

  private static RequestResult toResult(
      OutgoingRequest request, ServiceCallClass call, CallResponse response) {
    long endNs = System.nanoTime() - request.scheduledNs();
    return new RequestResult(
        request.requestId(),
        request.arrival(),
        response.refusal().map(ErrorResponse::ending).orElse(Ending.FINISHED),
        response.refusal().map(ErrorResponse::reason).orElse(""),
        response.verdict(),
        response.refusal().map(ErrorResponse::retryAfter).orElse(false),
        new Timings(Optional.empty(), new long[0], endNs),
        0,
        checkEcho(request, call, response));
  }

  /** Detects responses to other calls: the service stand-in echoes the key and the path. */
  private static List<Fault> checkEcho(
      OutgoingRequest request, ServiceCallClass call, CallResponse response) {
    boolean echoed = !call.repeatable() || call.path().contains(ID_PLACEHOLDER);
    if (response.refusal().isPresent()
        || !echoed
        || response.body().contains(request.requestId())) {
      return List.of();
    }
    return List.of(new Fault(FaultKind.CROSSED_ANSWER, "the response belongs to another call"));
  }
}
