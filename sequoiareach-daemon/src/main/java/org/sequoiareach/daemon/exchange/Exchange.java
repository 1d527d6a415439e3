package org.sequoiareach.daemon.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.dialect.AttemptMetadata;
import org.sequoiareach.daemon.front.CallAnswer;
import org.sequoiareach.daemon.upstream.TargetConnection;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.CallProfile;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Carries one request through its attempts, and one answer back to its caller.
 *
 * <p>Events of a stream are passed on whole, each number once and in order, whatever engine they
 * come from. Used on the traffic thread alone.
 */
final class Exchange {

  /** The time that a stopped engine is given to end its answer before another one goes on. */
  private static final long SOURCE_END_MS = 40;

  private final ExchangeContext context;
  private final String callId;
  private final CallProfile profile;
  private final HttpRequest request;
  private final ByteBuf body;
  private final CallAnswer caller;
  private final long suspendedBeforeMs;
  private final Runnable onOver;
  private Optional<AttemptReader> reader = Optional.empty();
  private Optional<HeldAnswer> held = Optional.empty();
  private boolean headSent;
  private long lastEventId;
  private long lastPartMs;
  private boolean over;

  Exchange(
      ExchangeContext context,
      String callId,
      CallProfile profile,
      HttpRequest request,
      ByteBuf body,
      CallAnswer caller,
      Runnable onOver) {
    this.onOver = onOver;
    this.context = context;
    this.callId = callId;
    this.profile = profile;
    this.request = request;
    this.body = body;
    this.caller = caller;
    this.suspendedBeforeMs = context.suspensions().suspendedMs();
    caller.onWritable(
        writable ->
            reader.flatMap(AttemptReader::connection).ifPresent(at -> at.setReading(writable)));
  }

  String requestId() {
    return profile.requestId();
  }

  ExchangeContext context() {
    return context;
  }

  /** Sends an attempt, once the answer of a stopped engine has ended. */
  void send(DispatchEffect.SendCall order) {
    if (over) {
      return;
    }
    boolean waits = order.continuation().isPresent() && reader.filter(r -> !r.isDone()).isPresent();
    if (!waits) {
      sendNow(order);
      return;
    }
    AttemptReader stopped = reader.get();
    Runnable once =
        new Runnable() {
          private boolean done;

          @Override
          public void run() {
            if (!done) {
              done = true;
              stopped.abandon();
              sendNow(order);
            }
          }
        };
    stopped.onEnded(once);
    context.loop().schedule(once, SOURCE_END_MS, TimeUnit.MILLISECONDS);
  }

  private void sendNow(DispatchEffect.SendCall order) {
    if (over) {
      return;
    }
    AttemptReader next = new AttemptReader(this, order, lastEventId);
    reader = Optional.of(next);
    boolean late = MonotonicClock.nowMs() > order.sendByMs();
    if (late || context.suspensions().wasSuspendedSince(suspendedBeforeMs)) {
      next.fail(AttemptFault.OUTDATED, 0, "the daemon was paused");
      return;
    }
    context
        .connections()
        .take(
            order.target(),
            order.maxConnections(),
            (connection, problem) -> connected(order, next, connection, problem));
  }

  private void connected(
      DispatchEffect.SendCall order,
      AttemptReader attempt,
      TargetConnection connection,
      IOException problem) {
    if (connection == null) {
      attempt.fail(faultOf(problem), 0, problem.getMessage());
      return;
    }
    long leftMs = order.deadlineMs() - MonotonicClock.nowMs();
    if (over || !reader.filter(current -> current == attempt).isPresent() || leftMs <= 0) {
      connection.giveBackUnused();
      attempt.fail(AttemptFault.OUTDATED, 0, "the time of the attempt is over");
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    MessageHeaders.removeConnectionHeaders(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.remove(HttpHeaderNames.EXPECT);
    boolean goesOn = order.continuation().isPresent();
    context
        .dialect()
        .setAttemptHeaders(
            headers,
            new AttemptMetadata(
                order.target().id(),
                leftMs,
                order.organisation(),
                order.priority(),
                order.continuation(),
                goesOn ? OptionalLong.of(lastEventId) : OptionalLong.empty()));
    if (body.isReadable() || !HttpMethod.GET.equals(request.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
    attempt.sentOn(connection);
    connection.send(head, body.retainedDuplicate(), attempt);
  }

  /** Tells a port where nothing listens from other failures to connect. */
  private static AttemptFault faultOf(IOException problem) {
    boolean refused =
        problem instanceof ConnectException && !(problem instanceof ConnectTimeoutException);
    return refused ? AttemptFault.NOBODY_THERE : AttemptFault.NOT_SENT;
  }

  /** Passes an event on, unless its number was passed on before; returns false at a gap. */
  boolean passEvent(AttemptReader attempt, OptionalLong id, ByteBuf bytes) {
    if (over || id.isPresent() && id.getAsLong() <= lastEventId) {
      bytes.release();
      return true;
    }
    if (id.isPresent() && lastEventId > 0 && id.getAsLong() != lastEventId + 1) {
      bytes.release();
      return false;
    }
    startAnswer(attempt, OptionalLong.empty());
    attempt.announceStart();
    id.ifPresent(number -> lastEventId = number);
    measureGap();
    caller.sendPart(bytes);
    return true;
  }

  /** Passes a whole plain answer on. */
  void passWhole(AttemptReader attempt, ByteBuf content) {
    startAnswer(attempt, OptionalLong.of(content.readableBytes()));
    attempt.announceStart();
    caller.sendPart(content);
  }

  /** Sends the head of an attempt's answer, unless another attempt's was sent. */
  void startAnswer(AttemptReader attempt, OptionalLong length) {
    if (headSent || over) {
      return;
    }
    headSent = true;
    caller.sendHead(attempt.status(), attempt.headers(), length);
  }

  /** Tells that an attempt has given the first part of its answer. */
  void started(AttemptReader attempt) {
    post(new DispatchEvent.AnswerStarted(MonotonicClock.nowMs(), callId, attempt.number()));
  }

  void passPart(ByteBuf part) {
    caller.sendPart(part);
  }

  void delivered(AttemptReader attempt) {
    if (over) {
      return;
    }
    caller.finish();
    long nowMs = MonotonicClock.nowMs();
    context
        .metrics()
        .timer("call." + attempt.kind().name().toLowerCase(Locale.ROOT))
        .update(nowMs - profile.arrivedMs(), TimeUnit.MILLISECONDS);
    post(
        new DispatchEvent.AnswerDelivered(
            nowMs, callId, attempt.number(), attempt.status().code()));
    end();
  }

  void failed(AttemptReader attempt, AttemptFault fault, long retryAfterMs, String detail) {
    post(
        new DispatchEvent.AttemptFailed(
            MonotonicClock.nowMs(),
            callId,
            attempt.number(),
            fault,
            retryAfterMs,
            headSent,
            detail));
  }

  void hold(HeldAnswer answer) {
    held.ifPresent(before -> before.body().release());
    held = Optional.of(answer);
  }

  void deliverHeld() {
    if (over || held.isEmpty()) {
      return;
    }
    HeldAnswer answer = held.get();
    held = Optional.empty();
    caller.sendHead(
        answer.status(), answer.headers(), OptionalLong.of(answer.body().readableBytes()));
    caller.sendPart(answer.body());
    caller.finish();
    end();
  }

  void refuse(Verdict verdict, Reason reason, String message, long retryAfterMs) {
    if (over) {
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    headers.set("Sequoiareach-Verdict", verdict.label());
    if (retryAfterMs > 0) {
      context.dialect().setRetryAfter(headers, retryAfterMs);
    }
    ByteBuf text =
        Unpooled.copiedBuffer(Problems.describe(reason, verdict, message), StandardCharsets.UTF_8);
    caller.sendHead(
        HttpResponseStatus.valueOf(Problems.statusOf(reason, verdict)),
        headers,
        OptionalLong.of(text.readableBytes()));
    caller.sendPart(text);
    caller.finish();
    stopTarget();
    end();
  }

  void cut() {
    if (over) {
      return;
    }
    caller.cut();
    stopTarget();
    end();
  }

  /** Ends the exchange because the caller has gone. */
  void callerLeft() {
    if (over) {
      return;
    }
    post(new DispatchEvent.CallerLeft(MonotonicClock.nowMs(), callId));
    stopTarget();
    end();
  }

  /** Stops the work of the target, except where it cannot be repeated and should finish. */
  private void stopTarget() {
    reader.ifPresent(
        attempt -> {
          if (attempt.kind() == RouteKind.NON_IDEMPOTENT) {
            attempt.finishUnheard();
          } else {
            attempt.abandon();
          }
        });
  }

  private void measureGap() {
    long nowMs = MonotonicClock.nowMs();
    if (lastPartMs > 0) {
      context.metrics().timer("stream.gap").update(nowMs - lastPartMs, TimeUnit.MILLISECONDS);
    } else {
      context
          .metrics()
          .timer("stream.first")
          .update(nowMs - profile.arrivedMs(), TimeUnit.MILLISECONDS);
    }
    lastPartMs = nowMs;
  }

  private void end() {
    over = true;
    body.release();
    held.ifPresent(answer -> answer.body().release());
    held = Optional.empty();
    onOver.run();
  }

  private void post(DispatchEvent event) {
    context.events().post(event);
  }
}
