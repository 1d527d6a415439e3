package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.memory.HeldBytes;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.upstream.ResponseFraming;
import org.sequoiareach.daemon.upstream.ResponseListener;
import org.sequoiareach.daemon.upstream.TargetConnection;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Processes the response of a target to one attempt and forwards its body to the {@link
 * ProxyExchange}.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class AttemptResponseHandler implements ResponseListener {

  /** A body up to this length is forwarded only once it is complete. */
  private static final int MAX_BUFFERED_BYTES = 256 << 10;

  private static final int MAX_EVENT_BYTES = 1 << 20;

  /** A rejection has a body of a few words; a longer one is not read to its end. */
  private static final int MAX_REJECTION_BYTES = 64 << 10;

  /** The time that a target may take to stop after the deadline that it was given. */
  private static final long DISCARD_GRACE_MS = 500;

  /** The part of the time left for which a repeatable request waits behind an extra answer. */
  private static final int OWN_ANSWER_WAIT_DIVISOR = 3;

  /** How the body of the response is processed. */
  private enum Mode {
    /** The head has not arrived yet. */
    AWAITING_HEAD,
    /** Server-sent events, which are forwarded one by one. */
    EVENT_STREAM,
    /** A body that is buffered until it is complete or exceeds {@link #MAX_BUFFERED_BYTES}. */
    BUFFERED,
    /** A body that exceeded the buffer and is forwarded as it arrives. */
    PASS_THROUGH,
    /** The answer is not forwarded; its body is discarded so that the connection can be reused. */
    DISCARDED,
    /** A server error that is held while another target may be tried. */
    SERVER_ERROR
  }

  private final ProxyExchange exchange;
  private final DispatchEffect.SendCall sendCall;
  private Optional<TargetConnection> connection = Optional.empty();
  private Optional<ServerSentEventSplitter> splitter = Optional.empty();
  private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
  private Mode mode = Mode.AWAITING_HEAD;
  private HttpResponseStatus status = HttpResponseStatus.OK;
  private HttpHeaders headers = new DefaultHttpHeaders();
  private AnswerAssessment assessment = AnswerAssessment.OWN_ANSWER;
  private String answeredRequestId = "";
  private long retryAfterMs;
  private long discardedBytes;
  private long heldBytes;
  private int receivedEvents;
  private boolean done;
  private boolean disconnected;
  private boolean startReported;
  private final StopOrderHistory stopOrders;
  private Optional<ResponseFraming> undecidedEnd = Optional.empty();
  private Runnable onEnded = () -> {};

  AttemptResponseHandler(ProxyExchange exchange, DispatchEffect.SendCall sendCall) {
    this.exchange = exchange;
    this.sendCall = sendCall;
    this.stopOrders = exchange.stopOrdersTo(sendCall.target().address());
  }

  int number() {
    return sendCall.attempt();
  }

  String targetId() {
    return sendCall.target().id();
  }

  RouteKind kind() {
    return sendCall.kind();
  }

  HttpResponseStatus status() {
    return status;
  }

  HttpHeaders headers() {
    return headers;
  }

  Optional<TargetConnection> connection() {
    return done ? Optional.empty() : connection;
  }

  boolean isDone() {
    return done;
  }

  /** Returns whether the connection to the target broke off. */
  boolean isDisconnected() {
    return disconnected;
  }

  /** Reports, on the first call only, that the response body has started. */
  void reportStart() {
    if (!startReported) {
      startReported = true;
      exchange.onStarted(this);
    }
  }

  void onSent(TargetConnection used) {
    connection = Optional.of(used);
  }

  /** Sets the callback for the end of the attempt, whether it succeeds, fails or is aborted. */
  void onEnded(Runnable listener) {
    onEnded = listener;
  }

  void abort() {
    connection().ifPresent(TargetConnection::abort);
    finish();
  }

  void discardResponse() {
    long deadlineMs = sendCall.deadlineMs() + DISCARD_GRACE_MS;
    connection().ifPresent(used -> used.discardResponse(deadlineMs));
    finish();
  }

  @Override
  public void onHead(HttpResponse response) {
    long nowMs = MonotonicClock.nowMs();
    final AnswerHead head = exchange.context().dialect().readAnswer(response, nowMs);
    status = response.status();
    headers = new DefaultHttpHeaders().set(response.headers());
    HopByHopHeaders.removeFrom(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    connection.ifPresent(conn -> conn.setReusableUntil(head.idleUntilMs().orElse(nowMs)));
    retryAfterMs = head.retryAfterMs();
    answeredRequestId = head.requestId().orElse("missing");
    assessment = AnswerAssessment.of(head, exchange.requestId());
    if (isExtraAnswer(head)) {
      exchange.onExtraAnswer(describeOrigin());
      connection.ifPresent(TargetConnection::skipResponse);
      limitWaitForOwnAnswer(nowMs);
      return;
    }
    if (assessment.isFromAddressedTarget()) {
      exchange.onRateStated(this, sendCall.target(), head.acceptedRate());
      if (head.leaving()) {
        exchange.onLeavingAnnounced(sendCall.target());
      }
      if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) && retryAfterMs > 0) {
        exchange.onBackoffRequested(sendCall.target(), nowMs + retryAfterMs);
      }
    }
    if (assessment.isDiscarded()) {
      connection.ifPresent(conn -> conn.recordRefusal(exchange.requestId()));
      mode = Mode.DISCARDED;
      return;
    }
    if (assessment.fault().isPresent()) {
      abortWithFault(
          assessment.fault().get(),
          "the response is not the target's own answer to this request: "
              + assessment
              + " "
              + describeOrigin());
      return;
    }
    selectMode(head);
  }

  /**
   * Gives up an attempt at a repeatable request if its own answer does not follow the extra one
   * early enough for another target. Other requests wait for it until their deadline.
   */
  private void limitWaitForOwnAnswer(long nowMs) {
    if (!kind().isRepeatable()) {
      return;
    }
    long waitMs = (sendCall.deadlineMs() - nowMs) / OWN_ANSWER_WAIT_DIVISOR;
    exchange
        .context()
        .loop()
        .schedule(
            () -> {
              if (mode == Mode.AWAITING_HEAD && !done) {
                abortWithFault(AttemptFault.BROKEN_ANSWER, "no answer followed the extra answer");
              }
            },
            waitMs,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether an answer belongs to an earlier request of the connection, so that the answer
   * to this one is still to come.
   */
  private boolean isExtraAnswer(AnswerHead head) {
    boolean sentEarlier = connection.filter(conn -> conn.sentRequests() > 1).isPresent();
    return assessment == AnswerAssessment.UNATTRIBUTED
        && head.requestId().isPresent()
        && sentEarlier;
  }

  private void selectMode(AnswerHead head) {
    boolean error = status.code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    boolean success = status.code() == HttpResponseStatus.OK.code();
    boolean resumes = sendCall.continuation().isPresent() || exchange.isHeadSent();
    if (success && kind().isStreaming() && !head.stream()) {
      abortWithFault(AttemptFault.BROKEN_ANSWER, "the response to a request for a stream is none");
    } else if (resumes && !(success && head.stream())) {
      abortWithFault(
          AttemptFault.BROKEN_ANSWER,
          "the engine did not resume the stream: HTTP status " + status.code());
    } else if (head.stream() && !error) {
      mode = Mode.EVENT_STREAM;
      splitter = Optional.of(new ServerSentEventSplitter(allocator(), MAX_EVENT_BYTES));
    } else if (error && sendCall.kind().isRepeatable()) {
      mode = Mode.SERVER_ERROR;
      buffered = allocator().buffer();
    } else {
      mode = Mode.BUFFERED;
      buffered = allocator().buffer();
    }
  }

  @Override
  public void onContent(ByteBuf part) {
    switch (mode) {
      case EVENT_STREAM -> forwardEvents(part);
      case PASS_THROUGH -> exchange.forwardPart(part.retain());
      case BUFFERED, SERVER_ERROR -> appendToBuffer(part);
      case DISCARDED -> countDiscarded(part);
      default -> {}
    }
  }

  @Override
  public void onReadComplete() {
    exchange.flushResponse();
  }

  @Override
  public void onComplete(ResponseFraming framing) {
    if (done) {
      return;
    }
    switch (mode) {
      case DISCARDED -> {
        if (assessment.provesNotRun()) {
          exchange.onProvenNotRun();
        }
        fail(
            assessment.fault().orElseThrow(),
            retryAfterMs,
            "target " + sendCall.target().id() + " answered with " + describeOrigin());
      }
      case SERVER_ERROR -> {
        exchange.holdResponse(new HeldErrorResponse(status, headers, buffered.retain()));
        fail(AttemptFault.SERVER_ERROR, 0, describeOrigin());
      }
      case EVENT_STREAM -> completeStream(framing);
      case BUFFERED -> {
        exchange.forwardBody(this, buffered.retain());
        completeDelivered(describeProgress(framing.label()));
      }
      default -> completeDelivered(describeProgress(framing.label()));
    }
  }

  @Override
  public void onFailure(String detail) {
    if (mode == Mode.AWAITING_HEAD) {
      fail(AttemptFault.LOST, 0, detail);
      return;
    }
    fail(AttemptFault.BROKEN_ANSWER, 0, detail + " " + describeProgress("incomplete"));
  }

  @Override
  public void onDisconnected(String detail) {
    disconnected = true;
    onFailure(detail);
  }

  @Override
  public void onNotSent(String detail) {
    if (done) {
      return;
    }
    boolean reused = connection.filter(used -> used.sentRequests() > 1).isPresent();
    connection = Optional.empty();
    if (exchange.onNotSent(this, sendCall, reused, detail)) {
      return;
    }
    fail(AttemptFault.NOT_SENT, 0, detail);
  }

  /**
   * Ends the attempt as failed; what the caller receives is decided by the reducer.
   *
   * @param retryDelayMs the time after which the target may accept the request, in milliseconds; 0
   *     if unknown
   */
  void fail(AttemptFault fault, long retryDelayMs, String detail) {
    if (done) {
      return;
    }
    finish();
    exchange.onFailed(this, fault, retryDelayMs, detail);
  }

  /** Describes what the response says of itself and how often its connection was used. */
  private String describeOrigin() {
    return "HTTP status "
        + status.code()
        + " answeredRequest="
        + answeredRequestId
        + " connectionRequests="
        + connection.map(TargetConnection::sentRequests).orElse(0);
  }

  private void completeStream(ResponseFraming framing) {
    boolean insideEvent = splitter.orElseThrow().isInsideEvent();
    StreamEnd end = StreamEnd.of(framing, insideEvent, receivedEvents > 0, stopOrders.state());
    if (end == StreamEnd.UNDECIDED) {
      undecidedEnd = Optional.of(framing);
      return;
    }
    undecidedEnd = Optional.empty();
    String progress = describeProgress(framing.label());
    if (end != StreamEnd.COMPLETE) {
      disconnected = framing == ResponseFraming.CONNECTION;
      abortWithFault(AttemptFault.BROKEN_ANSWER, end.description() + ": " + progress);
      return;
    }
    if (splitter.orElseThrow().remainderBytes() > 0) {
      forwardBlock(splitter.orElseThrow().takeRemainder());
    }
    if (!done) {
      exchange.sendHeadOnce(this, OptionalLong.empty());
      completeDelivered(progress);
    }
  }

  /** Decides on an end of the stream that waited for the result of an order to stop the run. */
  void onStopAnswered() {
    undecidedEnd.filter(end -> !done).ifPresent(this::completeStream);
  }

  /**
   * Describes how the response ended and how much of it had arrived.
   *
   * @param endedBy what marked the end of the response
   */
  private String describeProgress(String endedBy) {
    return "end="
        + endedBy
        + splitter
            .map(events -> " events=" + receivedEvents + " rest=" + events.remainderBytes() + "B")
            .orElse("");
  }

  /** Ends the exchange first, so that a continuation that waits for this attempt is not sent. */
  private void completeDelivered(String progress) {
    exchange.onDelivered(this, progress);
    finish();
  }

  private void abortWithFault(AttemptFault fault, String detail) {
    connection().ifPresent(TargetConnection::abort);
    fail(fault, 0, detail);
  }

  private void finish() {
    if (done) {
      return;
    }
    done = true;
    exchange.flushResponse();
    hold(0);
    splitter.ifPresent(ServerSentEventSplitter::release);
    splitter = Optional.empty();
    if (mode != Mode.PASS_THROUGH && buffered.refCnt() > 0 && buffered != Unpooled.EMPTY_BUFFER) {
      buffered.release();
    }
    onEnded.run();
  }

  private void forwardEvents(ByteBuf part) {
    ServerSentEventSplitter events = splitter.orElseThrow();
    events.append(part);
    exchange.stream().countPart();
    try {
      Optional<EventBlock> block = events.next();
      while (block.isPresent()) {
        forwardBlock(block.get());
        block = done ? Optional.empty() : events.next();
      }
    } catch (IllegalStateException e) {
      abortWithFault(AttemptFault.BROKEN_ANSWER, e.getMessage());
    }
    if (!done && exchange.stream().isFlooded()) {
      abortAsFlooded();
    }
    if (!done && !hold(events.remainderBytes())) {
      abortWithFault(
          AttemptFault.BROKEN_ANSWER,
          "other responses leave no memory for an event of this length");
    }
  }

  private void abortAsFlooded() {
    abortWithFault(AttemptFault.BROKEN_ANSWER, "the event stream continues without new events");
  }

  /** Forwards a block, unless the attempt has ended; an invalid block ends it. */
  private void forwardBlock(EventBlock block) {
    if (done) {
      block.bytes().release();
      return;
    }
    BlockReading reading = exchange.forwardBlock(this, block);
    if (reading.fault().isPresent()) {
      abortWithFault(
          AttemptFault.BROKEN_ANSWER,
          "the event stream is invalid after event "
              + exchange.stream().lastEventId()
              + ": "
              + reading.fault().get().label());
    } else if (exchange.stream().isFlooded()) {
      abortAsFlooded();
    } else if (reading.kind() != BlockReading.Kind.FILLER) {
      receivedEvents++;
    }
  }

  /**
   * Accounts for what is held of the response.
   *
   * @param bytes all that is held now
   * @return whether there is memory for it
   */
  private boolean hold(long bytes) {
    HeldBytes memory = exchange.context().responseMemory();
    if (bytes <= heldBytes) {
      memory.release(heldBytes - bytes);
    } else if (!memory.tryReserve(heldBytes, bytes - heldBytes)) {
      return false;
    }
    heldBytes = bytes;
    return true;
  }

  private void countDiscarded(ByteBuf part) {
    discardedBytes += part.readableBytes();
    if (discardedBytes > MAX_REJECTION_BYTES) {
      abortWithFault(
          AttemptFault.BROKEN_ANSWER,
          "a rejection is longer than " + MAX_REJECTION_BYTES + " bytes: " + describeOrigin());
    }
  }

  private void appendToBuffer(ByteBuf part) {
    buffered.writeBytes(part);
    int length = buffered.readableBytes();
    boolean losing = mode == Mode.SERVER_ERROR && exchange.hasRival(this);
    if (losing && (length > MAX_BUFFERED_BYTES || !hold(length))) {
      abortWithFault(AttemptFault.BROKEN_ANSWER, "a server error is too long to be held");
      return;
    }
    if (length > MAX_BUFFERED_BYTES || !hold(length)) {
      exchange.sendHeadOnce(this, OptionalLong.empty());
      exchange.forwardPart(buffered);
      mode = Mode.PASS_THROUGH;
      hold(0);
    }
  }

  private static ByteBufAllocator allocator() {
    return ByteBufAllocator.DEFAULT;
  }
}
