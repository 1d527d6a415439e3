package org.sequoiareach.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.sequoiareach.decision.dispatch.CallProfile;

/** Translates the headers of requests and answers. Thread-safe. */
public interface CallDialect {

  /**
   * Reads what a request says of itself.
   *
   * @param request its head
   * @param nowMs when the head was read
   * @return the description
   * @throws InvalidCallException if a header that is needed is missing or cannot be read
   */
  CallProfile readRequest(HttpRequest request, long nowMs) throws InvalidCallException;

  /**
   * Sets the headers of an attempt and removes those that a caller may not set or a target may not
   * see.
   *
   * @param headers the caller's headers, changed in place
   * @param stamp what the target is to know
   */
  void stamp(HttpHeaders headers, AttemptStamp stamp);

  /**
   * Reads what an answer says of itself.
   *
   * @param answer its head
   * @param nowMs when the head was read
   * @return the description
   */
  AnswerHead readAnswer(HttpResponse answer, long nowMs);

  /**
   * Writes the time after which a caller may come back.
   *
   * @param headers the headers of a refusal, changed in place
   * @param delayMs the time in milliseconds
   */
  void setRetryAfter(HttpHeaders headers, long delayMs);
}
