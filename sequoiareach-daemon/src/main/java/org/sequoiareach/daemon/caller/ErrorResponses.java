package org.sequoiareach.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import org.reactivestreams.Publisher;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes error responses: the OpenAI error body under {@code /v1}, RFC 9457 for service calls. */
final class ErrorResponses {

  static final String VERDICT_HEADER = "Sequoiareach-Verdict";
  private static final long MS_PER_SECOND = 1_000;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_UNAVAILABLE = 503;

  private ErrorResponses() {}

  /** Writes a failure as an OpenAI error response, before any part of an answer was sent. */
  static Publisher<Void> writeOpenAi(HttpServerResponse response, RequestFailedException failure) {
    return write(response, failure, "application/json", openAiBody(failure));
  }

  /** Writes a failure of a service call as a problem document of RFC 9457. */
  static Publisher<Void> writeProblem(HttpServerResponse response, RequestFailedException failure) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("type", "about:blank");
    body.put("title", failure.reason().label());
    body.put("status", statusOf(failure));
    body.put("detail", failure.getMessage());
    body.put("verdict", failure.verdict().label());
    failure.retryAfterMs().ifPresent(ms -> body.put("retryAfterMs", ms));
    return write(response, failure, "application/problem+json", body);
  }

  /** Returns the OpenAI error body for a failure. */
  static ObjectNode openAiBody(RequestFailedException failure) {
    ObjectNode error = Json.mapper().createObjectNode();
    error.put("message", failure.getMessage());
    error.put("type", openAiType(failure.reason()));
    error.putNull("param");
    error.put("code", failure.reason().label());
    error.put("verdict", failure.verdict().label());
    failure.retryAfterMs().ifPresent(ms -> error.put("retry_after_ms", ms));
    ObjectNode body = Json.mapper().createObjectNode();
    body.set("error", error);
    return body;
  }

  private static Publisher<Void> write(
      HttpServerResponse response,
      RequestFailedException failure,
      String contentType,
      ObjectNode body) {
    response.status(HttpResponseStatus.valueOf(statusOf(failure)));
    response.header("Content-Type", contentType);
    response.header(VERDICT_HEADER, failure.verdict().label());
    failure.retryAfterMs().ifPresent(ms -> response.header("Retry-After", toSeconds(ms)));
    return response.sendByteArray(Mono.just(toBytes(body)));
  }

  static byte[] toBytes(ObjectNode body) {
    try {
      return Json.mapper().writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      return "{}".getBytes(StandardCharsets.UTF_8);
    }
  }

  /**
   * Returns the HTTP status of a failure. Statuses 429 and 503 are understood as a promise that the
   * request has not run, so they are used only in that case.
   */
  private static int statusOf(RequestFailedException failure) {
    int status = failure.reason().httpStatus();
    boolean refusal = status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
    return refusal && failure.verdict() != Verdict.NOT_RUN ? STATUS_BAD_GATEWAY : status;
  }

  private static String toSeconds(long ms) {
    return Long.toString(Math.max(1, (ms + MS_PER_SECOND - 1) / MS_PER_SECOND));
  }

  private static String openAiType(Reason reason) {
    return switch (reason) {
      case UNKNOWN_KEY -> "authentication_error";
      case NOT_ALLOWED -> "permission_error";
      case ORGANISATION_LIMIT, BUDGET_SPENT -> "rate_limit_error";
      case BAD_REQUEST, NOT_FOUND, TOO_LARGE, IDEMPOTENCY_KEY_REQUIRED -> "invalid_request_error";
      default -> "server_error";
    };
  }
}
