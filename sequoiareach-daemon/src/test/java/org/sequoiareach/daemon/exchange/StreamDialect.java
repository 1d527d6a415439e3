package org.sequoiareach.daemon.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.CallDialect;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.StatedRate;

/** Adds no headers to attempts, and takes every answer for one to request r-1, usually a stream. */
final class StreamDialect implements CallDialect {

  private final EventStreamFormat format;
  private final OptionalLong lastEventId;
  private final boolean stream;

  StreamDialect(EventStreamFormat format, OptionalLong lastEventId) {
    this(format, lastEventId, true);
  }

  StreamDialect(EventStreamFormat format, OptionalLong lastEventId, boolean stream) {
    this.format = format;
    this.lastEventId = lastEventId;
    this.stream = stream;
  }

  @Override
  public CallProfile readRequest(HttpRequest request, long nowMs) {
    throw new UnsupportedOperationException("requests are not read in this test");
  }

  @Override
  public OptionalLong findLastEventId(HttpHeaders headers) {
    return lastEventId;
  }

  @Override
  public void setAttemptHeaders(HttpHeaders headers, AttemptMetadata attempt) {}

  @Override
  public AnswerHead readAnswer(HttpResponse answer, long nowMs) {
    return new AnswerHead(
        Optional.of("r-1"),
        false,
        false,
        false,
        false,
        stream,
        0,
        Optional.empty(),
        StatedRate.NONE,
        false);
  }

  @Override
  public EventStreamFormat eventStreamFormat(RouteKind kind) {
    return format;
  }

  @Override
  public void setRetryAfter(HttpHeaders headers, long delayMs) {
    headers.set("Retry-After", delayMs);
  }
}
