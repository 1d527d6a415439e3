package org.sequoiareach.load.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.model.json.Json;
import org.sequoiareach.model.request.Verdict;

/**
 * An error reported by the system, or a local failure to get a response.
 *
 * @param ending whether the request was refused or failed
 * @param reason the error code or title; {@code http-} and the status if absent
 * @param verdict the execution verdict; empty if absent
 * @param retryAfter whether a {@code Retry-After} header is present
 */
record ErrorResponse(Ending ending, String reason, Optional<Verdict> verdict, boolean retryAfter) {

  private static final String VERDICT_HEADER = "Sequoiareach-Verdict";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  static ErrorResponse ofHttpResponse(int status, HttpHeaders headers, String body) {
    Optional<Verdict> verdict = readVerdict(headers.get(VERDICT_HEADER));
    boolean refusedByStatus = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
    boolean refused = verdict.map(Verdict.NOT_RUN::equals).orElse(refusedByStatus);
    return new ErrorResponse(
        refused ? Ending.REFUSED : Ending.FAILED,
        reasonOf(body).orElse("http-" + status),
        verdict,
        headers.contains(HttpHeaderNames.RETRY_AFTER));
  }

  static ErrorResponse ofErrorEvent(JsonNode event) {
    JsonNode error = event.path("error");
    String label = error.path("verdict").asText(event.path("verdict").asText(""));
    Optional<Verdict> verdict = readVerdict(label);
    boolean refused = verdict.map(Verdict.NOT_RUN::equals).orElse(false);
    Ending ending = refused ? Ending.REFUSED : Ending.FAILED;
    return new ErrorResponse(ending, reasonOf(event).orElse("error-event"), verdict, false);
  }

  static ErrorResponse ofFailure(String reason) {
    return new ErrorResponse(Ending.FAILED, reason, Optional.empty(), false);
  }

  private static Optional<Verdict> readVerdict(String label) {
    if (label == null || label.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(Verdict.fromLabel(label));
  }

  private static Optional<String> reasonOf(String body) {
    try {
      return reasonOf(Json.mapper().readTree(body));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /** Reads the reason from an OpenAI error object or from problem details (RFC 9457). */
  private static Optional<String> reasonOf(JsonNode body) {
    for (JsonNode found : new JsonNode[] {body.at("/error/code"), body.path("title")}) {
      if (found.isTextual() && !found.asText().isEmpty()) {
        return Optional.of(found.asText());
      }
    }
    return Optional.empty();
  }
}
