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
 * Sends plain service calls. A call that may not be repeated carries its request id as the
 * idempotency key; in paths, {@code {id}} becomes the request id.
 */
final class ServiceCallSender implements RequestSender {

  private static final int FIRST_ERROR_STATUS = 400;
  private static final String ID = "{id}";

  private final HttpClient client;

  ServiceCallSender(HttpClient client) {
    this.client = client;
  }

  /**
   * Holds the answer to a call.
   *
   * @param refusal the error; empty for success
   * @param verdict the verdict of the header
   * @param body the text of the body
   */
  private record Answer(Optional<Refusal> refusal, Optional<Verdict> verdict, String body) {}

  @Override
  public Mono<RequestResult> send(OutgoingRequest request) {
    ServiceCallClass call = (ServiceCallClass) request.arrival().requestClass();
    String path = call.path().replace(ID, request.requestId());
    String body = call.body().map(Object::toString).orElse("");
    return client
        .headers(headers -> setHeaders(headers, request, call))
        .request(HttpMethod.valueOf(call.method()))
        .uri(request.caller(0) + path)
        .send(ByteBufMono.fromString(Mono.just(body)))
        .responseSingle((response, content) -> read(response, content))
        .timeout(request.timeLeft())
        .onErrorResume(thrown -> Mono.just(failed(thrown)))
        .map(answer -> toResult(request, call, answer));
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

  private static Mono<Answer> read(HttpClientResponse response, ByteBufMono content) {
    int status = response.status().code();
    return content
        .asByteArray()
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
        .defaultIfEmpty("")
        .map(
            text -> {
              Refusal seen = Refusal.ofResponse(status, response.responseHeaders(), text);
              boolean failed = status >= FIRST_ERROR_STATUS;
              return new Answer(
                  failed ? Optional.of(seen) : Optional.empty(), seen.verdict(), text);
            });
  }

  private static Answer failed(Throwable thrown) {
    Refusal refusal = Refusal.failed(Failures.reasonOf(thrown));
    return new Answer(Optional.of(refusal), Optional.empty(), "");
  }

  private static RequestResult toResult(
      OutgoingRequest request, ServiceCallClass call, Answer answer) {
    long endNs = System.nanoTime() - request.scheduledNs();
    return new RequestResult(
        request.requestId(),
        request.arrival(),
        answer.refusal().map(Refusal::ending).orElse(Ending.FINISHED),
        answer.refusal().map(Refusal::reason).orElse(""),
        answer.verdict(),
        answer.refusal().map(Refusal::retryAfter).orElse(false),
        new Timings(Optional.empty(), new long[0], endNs),
        0,
        checkOwnAnswer(request, call, answer));
  }

  /** The service stand-in repeats the key and path, so an answer to another call shows. */
  private static List<Fault> checkOwnAnswer(
      OutgoingRequest request, ServiceCallClass call, Answer answer) {
    boolean telling = !call.repeatable() || call.path().contains(ID);
    if (answer.refusal().isPresent() || !telling || answer.body().contains(request.requestId())) {
      return List.of();
    }
    return List.of(new Fault(FaultKind.CROSSED_ANSWER, "the answer is to another call"));
  }
}
