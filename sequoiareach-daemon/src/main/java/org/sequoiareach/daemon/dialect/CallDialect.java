package org.sequoiareach.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.model.route.RouteKind;

/**
 * Translates between the headers of an HTTP dialect and the properties of requests, attempts and
 * answers. Thread-safe.
 */
public interface CallDialect {

  /**
   * Reads the properties of a request from its headers.
   *
   * @param request the request line and headers
   * @param nowMs when they were received, in milliseconds of the monotonic clock
   * @return the properties
   * @throws InvalidCallException if a required header is missing or a header is malformed
   */
  CallProfile readRequest(HttpRequest request, long nowMs) throws InvalidCallException;

  /**
   * Finds the last event that the caller received of an earlier run of its request.
   *
   * @param headers the headers of the request
   * @return the number of the event; empty if the caller does not resume a stream
   */
  OptionalLong findLastEventId(HttpHeaders headers);

  /**
   * Sets the headers of an attempt and removes headers that callers must not set or that targets
   * must not receive.
   *
   * @param headers the headers of the caller's request, modified in place
   * @param attempt the properties of the attempt
   */
  void setAttemptHeaders(HttpHeaders headers, AttemptMetadata attempt);

  /**
   * Reads the properties of an answer from its status and headers.
   *
   * @param answer the status line and headers
   * @param nowMs when they were received, in milliseconds of the monotonic clock
   * @return the properties
   */
  AnswerHead readAnswer(HttpResponse answer, long nowMs);

  /**
   * Returns what the event streams of targets may contain.
   *
   * @param kind the kind of requests that they answer
   * @return the format of these streams
   */
  EventStreamFormat eventStreamFormat(RouteKind kind);

  /**
   * Sets the delay after which a caller may retry.
   *
   * @param headers the headers of an error response, modified in place
   * @param delayMs the delay in milliseconds
   */
  void setRetryAfter(HttpHeaders headers, long delayMs);
}
