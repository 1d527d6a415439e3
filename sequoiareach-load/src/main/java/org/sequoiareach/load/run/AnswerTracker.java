package org.sequoiareach.load.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sequoiareach.load.check.AnswerChecker;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.load.check.Fault;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.model.json.Json;

/**
 * Tracks the answer to a generation across all its connections.
 *
 * <p>Thread-safe: the deadline fires on another thread than the one that reads the response.
 */
final class AnswerTracker {

  private static final String DONE = "[DONE]";
  private static final Pattern EVENT_ID = Pattern.compile("[1-9][0-9]{0,17}");

  private final OutgoingRequest request;
  private final AnswerChecker checker;
  private final TimingRecorder timings;

  private Optional<ErrorResponse> errorResponse = Optional.empty();
  private String lastEventId = "";
  private boolean done;
  private boolean aborted;

  AnswerTracker(OutgoingRequest request, int expectedTokens) {
    this.request = request;
    this.checker = new AnswerChecker(request.requestId(), expectedTokens);
    this.timings = new TimingRecorder(request.scheduledNs());
  }

  synchronized void onEvent(SseEvent event, long nowNs) {
    if (event.data().equals(DONE)) {
      done = true;
      return;
    }
    if (!event.id().isEmpty()) {
      checkId(event.id());
    }
    try {
      JsonNode chunk = Json.mapper().readTree(event.data());
      if (event.id().isEmpty() && !mayLackId(chunk)) {
        checker.onMalformed("event without an id: " + event.data());
      }
      onChunk(chunk, nowNs);
    } catch (JsonProcessingException e) {
      checker.onMalformed(event.data());
    }
  }

  synchronized void onCompleteResponse(String body) {
    done = true;
    try {
      JsonNode answer = Json.mapper().readTree(body);
      JsonNode choice = answer.at("/choices/0");
      checker.onText(answer.path("id").asText(""), choice.at("/message/content").asText(""));
      if (choice.hasNonNull("finish_reason")) {
        checker.onFinish();
      }
    } catch (JsonProcessingException e) {
      checker.onMalformed(body);
    }
  }

  synchronized void onErrorResponse(ErrorResponse error) {
    errorResponse = Optional.of(error);
    done = true;
  }

  synchronized void onFailure(Throwable thrown) {
    aborted = true;
    if (errorResponse.isEmpty() && !finished()) {
      errorResponse = Optional.of(ErrorResponse.ofFailure(FailureReasons.reasonOf(thrown)));
      timings.onAbort(System.nanoTime());
    }
  }

  synchronized void skipNextGap() {
    timings.skipNextGap();
  }

  synchronized boolean done() {
    return done;
  }

  synchronized boolean finished() {
    return checker.finished();
  }

  synchronized int tokens() {
    return checker.tokens();
  }

  synchronized String lastEventId() {
    return lastEventId;
  }

  synchronized Optional<String> completionId() {
    return checker.completionId();
  }

  synchronized RequestResult result() {
    if (finished() && !done && !aborted) {
      checker.onMalformed("the stream closed without " + DONE);
    }
    ErrorResponse error =
        errorResponse.orElse(ErrorResponse.ofFailure(FailureReasons.CONNECTION_LOST));
    boolean complete = finished() && errorResponse.isEmpty();
    List<Fault> faults = checker.faults();
    return new RequestResult(
        request.requestId(),
        request.arrival(),
        complete ? Ending.FINISHED : error.ending(),
        complete ? "" : error.reason(),
        complete ? Optional.empty() : error.verdict(),
        !complete && error.retryAfter(),
        timings.finish(System.nanoTime()),
        checker.tokens(),
        faults);
  }

  private void checkId(String id) {
    long expected = lastEventId.isEmpty() ? 1 : Long.parseLong(lastEventId) + 1;
    if (!id.equals(Long.toString(expected))) {
      checker.onMalformed("event with id '" + id + "' instead of " + expected);
    }
    if (EVENT_ID.matcher(id).matches()) {
      lastEventId = id;
    }
  }

  private static boolean mayLackId(JsonNode chunk) {
    return chunk.has("error") || chunk.at("/choices/0").hasNonNull("finish_reason");
  }

  private void onChunk(JsonNode chunk, long nowNs) {
    if (chunk.has("error")) {
      onErrorResponse(ErrorResponse.ofErrorEvent(chunk));
      return;
    }
    JsonNode choice = chunk.at("/choices/0");
    String text = choice.at("/delta/content").asText("");
    int found = checker.onText(chunk.path("id").asText(""), text);
    for (int i = 0; i < found; i++) {
      timings.onToken(nowNs);
    }
    if (choice.hasNonNull("finish_reason")) {
      checker.onFinish();
    }
  }
}
