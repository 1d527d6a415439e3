package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.dialect.EngineControl.CopyResult;
import org.sequoiareach.daemon.front.ResponseWriter;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.upstream.TargetConnection;
import org.sequoiareach.daemon.upstream.TargetConnectionManager;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.dispatch.HedgeEvent;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Proxies one request: sends its attempts to targets and a single response to its caller.
 *
 * <p>Events of a stream are forwarded complete, in the order of their ids and without duplicates,
 * even if a run moves to another engine. Not thread-safe; confined to the event loop.
 */
final class ProxyExchange {

  private static final Logger LOGGER = LogManager.getLogger(ProxyExchange.class);

  /** Time for a stopped engine to end its response before another engine resumes the run. */
  private static final long SOURCE_END_TIMEOUT_MS = 40;

  private final ProxyExchangeContext context;
  private final AttemptRequestFactory requests;
  private final String callId;
  private final CallProfile profile;
  private final HttpRequest request;
  private final ByteBuf body;
  private final ResponseWriter response;
  private long suspendedMsBefore;
  private final Runnable onEnded;
  private final StreamReader stream;
  private final ConcurrentAttempts attempts = new ConcurrentAttempts();
  private final Map<String, StopOrderHistory> stopOrders = new HashMap<>(2);
  private Optional<HeldErrorResponse> heldResponse = Optional.empty();
  private boolean headSent;
  private boolean ended;

  /** Attempts whose request was handed to a connection, except those that provably did not run. */
  private int unprovenAttempts;

  ProxyExchange(
      ProxyExchangeContext context,
      String callId,
      CallProfile profile,
      HttpRequest request,
      ByteBuf body,
      ResponseWriter response,
      Runnable onEnded) {
    this.onEnded = onEnded;
    this.context = context;
    this.stream = new StreamReader(context, callId, profile);
    this.requests = new AttemptRequestFactory(context.dialect());
    this.callId = callId;
    this.profile = profile;
    this.request = request;
    this.body = body;
    this.response = response;
    this.suspendedMsBefore = context.suspensionDetector().totalSuspendedMs();
    response.onWritabilityChanged(
        writable ->
            attempts.connection().ifPresent(connection -> connection.setReadEnabled(writable)));
  }

  String requestId() {
    return profile.requestId();
  }

  ProxyExchangeContext context() {
    return context;
  }

  /**
   * Starts an attempt. An attempt that resumes a run waits until the response of the stopped engine
   * has ended or {@link #SOURCE_END_TIMEOUT_MS} have passed.
   */
  void send(DispatchEffect.SendCall sendCall) {
    if (ended) {
      return;
    }
    if (sendCall.kind() == RouteKind.RESUMABLE_STREAMING && !headSent) {
      stream.resumeAfter(context.dialect().findLastEventId(request.headers()).orElse(0));
    }
    if (headSent || sendCall.continuation().isPresent()) {
      // Decided during the call, so that only a later suspension outdates it.
      suspendedMsBefore = context.suspensionDetector().totalSuspendedMs();
    }
    boolean sourceActive =
        sendCall.continuation().isPresent()
            && attempts.current().filter(r -> !r.isDone()).isPresent();
    if (!sourceActive) {
      startAttempt(sendCall);
      return;
    }
    AttemptResponseHandler source = attempts.current().get();
    AtomicBoolean started = new AtomicBoolean();
    Runnable startOnce =
        () -> {
          if (started.compareAndSet(false, true)) {
            source.abort();
            startAttempt(sendCall);
          }
        };
    source.onEnded(startOnce);
    context.loop().schedule(startOnce, SOURCE_END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a second attempt while the current one is in progress. The attempt that first has a
   * complete answer, or an event of a stream, wins: it alone writes, and the other one is aborted.
   */
  void sendHedge(DispatchEffect.SendCall sendCall) {
    if (ended) {
      return;
    }
    if (headSent) {
      attempts.current().ifPresent(this::postWinner);
      return;
    }
    AttemptResponseHandler second = new AttemptResponseHandler(this, sendCall);
    attempts.addHedged(second);
    if (isOutdated(sendCall)) {
      failOutdated(second);
      return;
    }
    connect(sendCall, second);
  }

  private void startAttempt(DispatchEffect.SendCall sendCall) {
    if (ended || attempts.current().filter(at -> at.number() > sendCall.attempt()).isPresent()) {
      return;
    }
    AttemptResponseHandler next = new AttemptResponseHandler(this, sendCall);
    attempts.replace(next);
    if (isOutdated(sendCall)) {
      failOutdated(next);
      return;
    }
    boolean newRun = sendCall.continuation().isEmpty();
    stopOrdersTo(sendCall.target().address()).recordAttempt();
    if (newRun && unprovenAttempts > 0 && !sendCall.kind().isRepeatable()) {
      next.fail(AttemptFault.LOST, 0, "not sent: an earlier attempt of the request may have run");
      return;
    }
    if (headSent && !stream.isResumable()) {
      next.fail(
          AttemptFault.OUTDATED, 0, "not sent: an event without an id cannot be resumed after");
      return;
    }
    connect(sendCall, next);
  }

  private void connect(DispatchEffect.SendCall sendCall, AttemptResponseHandler attempt) {
    context
        .connections()
        .acquire(
            sendCall.target(),
            requestId(),
            sendCall.maxConnections(),
            (connection, problem) -> onConnected(sendCall, attempt, connection, problem));
  }

  /**
   * Records that an attempt was not written, and sends it on another connection if its own had been
   * kept from an earlier request: that such a connection has ended says nothing about the target.
   *
   * @return whether the attempt goes on
   */
  boolean onNotSent(
      AttemptResponseHandler attempt,
      DispatchEffect.SendCall sendCall,
      boolean reused,
      String detail) {
    unprovenAttempts--;
    context.metrics().meter("connections.closed-before-write").mark();
    if (!reused || ended || !attempts.contains(attempt)) {
      return false;
    }
    LOGGER.info(
        "Sending attempt {} of request {} to {} on another connection: {}",
        attempt.number(),
        requestId(),
        sendCall.target().id(),
        detail);
    connect(sendCall, attempt);
    return true;
  }

  /** Returns whether another attempt is in progress that may still win. */
  boolean hasRival(AttemptResponseHandler attempt) {
    return attempts.findRival(attempt).isPresent();
  }

  private void postWinner(AttemptResponseHandler winner) {
    post(new HedgeEvent.AttemptWon(MonotonicClock.nowMs(), callId, winner.number()));
  }

  private void onConnected(
      DispatchEffect.SendCall sendCall,
      AttemptResponseHandler attempt,
      TargetConnection connection,
      IOException problem) {
    if (connection == null) {
      attempt.fail(classifyConnectFailure(problem), 0, problem.getMessage());
      return;
    }
    long leftMs = sendCall.deadlineMs() - MonotonicClock.nowMs();
    if (ended || !attempts.contains(attempt) || leftMs <= 0) {
      connection.releaseUnused();
      attempt.fail(
          AttemptFault.OUTDATED,
          0,
          "not sent: the attempt was superseded or its deadline has passed");
      return;
    }
    if (isOutdated(sendCall)) {
      connection.releaseUnused();
      failOutdated(attempt);
      return;
    }
    HttpRequest head;
    try {
      head = requests.create(request, body, describe(sendCall, leftMs));
    } catch (IllegalArgumentException e) {
      connection.releaseUnused();
      attempt.fail(AttemptFault.NOT_SENT, 0, "not sent: " + e.getMessage());
      return;
    }
    attempt.onSent(connection);
    unprovenAttempts++;
    connection.send(head, body.retainedDuplicate(), attempt);
  }

  /** Returns whether the decision to send was made too long ago, or before a suspension. */
  private boolean isOutdated(DispatchEffect.SendCall sendCall) {
    return MonotonicClock.nowMs() > sendCall.sendByMs()
        || context.suspensionDetector().wasSuspendedSince(suspendedMsBefore);
  }

  private static void failOutdated(AttemptResponseHandler attempt) {
    attempt.fail(
        AttemptFault.OUTDATED,
        0,
        "not sent: the daemon was paused or the deadline for sending has passed");
  }

  private AttemptMetadata describe(DispatchEffect.SendCall sendCall, long leftMs) {
    return new AttemptMetadata(
        sendCall.target().id(),
        leftMs,
        sendCall.organisation(),
        sendCall.priority(),
        sendCall.continuation(),
        findResumePoint(sendCall));
  }

  private OptionalLong findResumePoint(DispatchEffect.SendCall sendCall) {
    boolean resumesStream =
        sendCall.kind() == RouteKind.RESUMABLE_STREAMING && stream.lastEventId() > 0;
    return sendCall.continuation().isPresent() || resumesStream
        ? OptionalLong.of(stream.lastEventId())
        : OptionalLong.empty();
  }

  /** Distinguishes a refused connection, where no process listens, from other failures. */
  private static AttemptFault classifyConnectFailure(IOException problem) {
    return TargetConnectionManager.isRefusal(problem)
        ? AttemptFault.NOBODY_THERE
        : AttemptFault.NOT_SENT;
  }

  /** Forwards a block to the caller, unless the caller has its event or it is invalid. */
  BlockReading forwardBlock(AttemptResponseHandler attempt, EventBlock block) {
    BlockReading reading = stream.read(block, attempt);
    boolean wanted =
        reading.kind() == BlockReading.Kind.NEXT || reading.kind() == BlockReading.Kind.FILLER;
    if (ended || !wanted) {
      block.bytes().release();
      return reading;
    }
    sendHeadOnce(attempt, OptionalLong.empty());
    attempt.reportStart();
    response.sendContent(block.bytes());
    return reading;
  }

  /** Returns the event stream that answers the request. */
  StreamReader stream() {
    return stream;
  }

  /** Forwards a complete body whose length is known. */
  void forwardBody(AttemptResponseHandler attempt, ByteBuf content) {
    sendHeadOnce(attempt, OptionalLong.of(content.readableBytes()));
    attempt.reportStart();
    response.sendContent(content);
  }

  boolean isHeadSent() {
    return headSent;
  }

  /** Sends the response head of an attempt, unless a head was sent before. */
  void sendHeadOnce(AttemptResponseHandler attempt, OptionalLong length) {
    if (headSent || ended) {
      return;
    }
    if (attempts.declareWinner(attempt)) {
      context.metrics().meter("answers.hedge-dropped").mark();
      postWinner(attempt);
    }
    headSent = true;
    response.sendHead(attempt.status(), attempt.headers(), length);
  }

  /** Posts that an attempt has produced the first part of its response body. */
  void onStarted(AttemptResponseHandler attempt) {
    post(new DispatchEvent.AnswerStarted(MonotonicClock.nowMs(), callId, attempt.number()));
  }

  /**
   * Posts the rate of requests that a target states, or that it states none if that is relevant.
   */
  void onRateStated(AttemptResponseHandler attempt, RoutedTarget target, StatedRate rate) {
    if (rate.present() || context.rateWatch().contains(target.id())) {
      post(new DispatchEvent.RateStated(MonotonicClock.nowMs(), callId, attempt.number(), rate));
    }
  }

  /** Posts that a target announces in its answer that it is leaving. */
  void onLeavingAnnounced(RoutedTarget target) {
    post(new DispatchEvent.LeavingAnnounced(MonotonicClock.nowMs(), target, requestId()));
  }

  /** Posts that a target asks in its answer to be sent nothing until a time. */
  void onBackoffRequested(RoutedTarget target, long untilMs) {
    post(
        new DispatchEvent.BackoffRequested(
            MonotonicClock.nowMs(), target.id(), untilMs, requestId()));
  }

  void forwardPart(ByteBuf part) {
    response.sendContent(part);
  }

  /** Sends what was written of the response, once for all that a read from a target contained. */
  void flushResponse() {
    response.flush();
  }

  void onDelivered(AttemptResponseHandler attempt, String progress) {
    if (ended) {
      return;
    }
    response.finish();
    stream.reportProgress();
    long nowMs = MonotonicClock.nowMs();
    context
        .metrics()
        .timer("call." + attempt.kind().name().toLowerCase(Locale.ROOT))
        .update(nowMs - profile.arrivedMs(), TimeUnit.MILLISECONDS);
    post(
        new DispatchEvent.AnswerDelivered(
            nowMs, callId, attempt.number(), attempt.status().code(), progress));
    end();
  }

  /** Returns what is known of the orders to an engine to stop the run of this request. */
  StopOrderHistory stopOrdersTo(String engineAddress) {
    return stopOrders.computeIfAbsent(engineAddress, address -> new StopOrderHistory());
  }

  /**
   * Records that an engine is ordered to stop the run.
   *
   * @return receives the result of the order
   */
  Consumer<CopyResult> onStopOrdered(String engineAddress) {
    StopOrderHistory orders = stopOrdersTo(engineAddress);
    orders.recordOrder();
    return result -> {
      orders.recordResult(result);
      attempts.forEach(AttemptResponseHandler::onStopAnswered);
    };
  }

  /** Records that a target answered an earlier request once more instead of this one. */
  void onExtraAnswer(String origin) {
    context.metrics().meter("answers.extra").mark();
    LOGGER.info("Skipping an extra answer on the connection of {}: {}", requestId(), origin);
  }

  /** Records that the target of an attempt stated that it did not run the request. */
  void onProvenNotRun() {
    unprovenAttempts--;
  }

  void onFailed(
      AttemptResponseHandler attempt, AttemptFault fault, long retryAfterMs, String detail) {
    context
        .metrics()
        .meter("attempts.failed." + fault.name().toLowerCase(Locale.ROOT).replace('_', '-'))
        .mark();
    post(
        new DispatchEvent.AttemptFailed(
            MonotonicClock.nowMs(),
            callId,
            attempt.number(),
            fault,
            retryAfterMs,
            headSent,
            attempt.isDisconnected(),
            detail));
  }

  void holdResponse(HeldErrorResponse errorResponse) {
    heldResponse.ifPresent(previous -> previous.body().release());
    heldResponse = Optional.of(errorResponse);
  }

  void deliverHeldResponse() {
    if (ended || heldResponse.isEmpty()) {
      return;
    }
    HeldErrorResponse errorResponse = heldResponse.get();
    heldResponse = Optional.empty();
    response.sendHead(
        errorResponse.status(),
        errorResponse.headers(),
        OptionalLong.of(errorResponse.body().readableBytes()));
    response.sendContent(errorResponse.body());
    response.finish();
    end();
  }

  /**
   * Refuses the request. A response that has started meanwhile is cut, because its status can no
   * longer be changed.
   */
  void refuse(Verdict verdict, Reason reason, String message, long retryAfterMs) {
    if (ended) {
      return;
    }
    if (headSent) {
      LOGGER.info(
          "Cutting the response to request {}, which started before it was refused: {}",
          profile.requestId(),
          message);
      abort(reason);
      return;
    }
    Verdict proven = weakenToProven(verdict);
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    headers.set("Sequoiareach-Verdict", proven.label());
    if (retryAfterMs > 0 && proven == verdict) {
      context.dialect().setRetryAfter(headers, retryAfterMs);
    }
    ByteBuf problem =
        Unpooled.copiedBuffer(
            ProblemDetails.toJson(reason, proven, message), StandardCharsets.UTF_8);
    response.sendHead(
        HttpResponseStatus.valueOf(ProblemDetails.statusOf(reason, proven)),
        headers,
        OptionalLong.of(problem.readableBytes()));
    response.sendContent(problem);
    response.finish();
    stopCurrentAttempt();
    end();
  }

  /**
   * Weakens the verdict of a decision to what this exchange knows of the requests that it sent. The
   * decision may have been made on older knowledge.
   */
  private Verdict weakenToProven(Verdict decided) {
    if (decided != Verdict.NOT_RUN || unprovenAttempts == 0) {
      return decided;
    }
    context.metrics().meter("verdict.weakened").mark();
    LOGGER.warn(
        "Request {} was refused as not run, but {} of its attempts may have run",
        profile.requestId(),
        unprovenAttempts);
    return Verdict.MAY_HAVE_RUN;
  }

  void abort(Reason reason) {
    if (ended) {
      return;
    }
    response.abort(reason);
    stopCurrentAttempt();
    end();
  }

  /** Ends the exchange because the caller has disconnected. */
  void onCallerDisconnected() {
    if (ended) {
      return;
    }
    post(new DispatchEvent.CallerLeft(MonotonicClock.nowMs(), callId));
    stopCurrentAttempt();
    end();
  }

  /**
   * Stops the current attempt. A non-idempotent request is left to finish at its target, because it
   * cannot be repeated; its response is discarded.
   */
  private void stopCurrentAttempt() {
    attempts.abortHedged();
    attempts
        .current()
        .ifPresent(
            attempt -> {
              if (attempt.kind() == RouteKind.NON_IDEMPOTENT) {
                attempt.discardResponse();
              } else {
                attempt.abort();
              }
            });
  }

  private void end() {
    ended = true;
    body.release();
    heldResponse.ifPresent(errorResponse -> errorResponse.body().release());
    heldResponse = Optional.empty();
    onEnded.run();
  }

  private void post(DispatchEvent event) {
    context.events().post(event);
  }
}
