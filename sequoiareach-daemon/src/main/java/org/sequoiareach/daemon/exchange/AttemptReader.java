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
import org.sequoiareach.daemon.dialect.AnswerHead;
import org.sequoiareach.daemon.upstream.AnswerListener;
import org.sequoiareach.daemon.upstream.TargetConnection;
import org.sequoiareach.decision.dispatch.AttemptFault;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.model.route.RouteKind;
import org.sequoiareach.store.time.MonotonicClock;

/** Reads the answer to one attempt. Used on the traffic thread alone. */
final class AttemptReader implements AnswerListener {

  /** Plain answers up to this length are passed on only when they are whole. */
  private static final int WHOLE_ANSWER_BYTES = 256 << 10;

  private static final int EVENT_BYTES = 1 << 20;

  /** How the body of an answer is handled. */
  private enum Mode {
    AWAITING_HEAD,
    EVENTS,
    WHOLE,
    PARTS,
    REJECTED,
    SERVER_ERROR
  }

  private final Exchange exchange;
  private final DispatchEffect.SendCall order;
  private final long resumedAfter;
  private Optional<TargetConnection> connection = Optional.empty();
  private Optional<EventSplitter> splitter = Optional.empty();
  private ByteBuf whole = Unpooled.EMPTY_BUFFER;
  private Mode mode = Mode.AWAITING_HEAD;
  private HttpResponseStatus status = HttpResponseStatus.OK;
  private HttpHeaders headers = new DefaultHttpHeaders();
  private AttemptFault rejection = AttemptFault.REJECTED;
  private long retryAfterMs;
  private boolean done;
  private boolean announced;
  private Runnable onEnded = () -> {};

  AttemptReader(Exchange exchange, DispatchEffect.SendCall order, long resumedAfter) {
    this.exchange = exchange;
    this.order = order;
    this.resumedAfter = resumedAfter;
  }

  int number() {
    return order.attempt();
  }

  RouteKind kind() {
    return order.kind();
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

  /** Tells once that the first part of the answer has come. */
  void announceStart() {
    if (!announced) {
      announced = true;
      exchange.started(this);
    }
  }

  void sentOn(TargetConnection used) {
    connection = Optional.of(used);
  }

  /** Sets what is done when the answer has ended in whatever way. */
  void onEnded(Runnable listener) {
    onEnded = listener;
  }

  void abandon() {
    connection().ifPresent(TargetConnection::abandon);
    finish();
  }

  void finishUnheard() {
    connection().ifPresent(TargetConnection::finishUnheard);
    finish();
  }

  @Override
  public void onHead(HttpResponse response) {
    long nowMs = MonotonicClock.nowMs();
    final AnswerHead head = exchange.context().dialect().readAnswer(response, nowMs);
    status = response.status();
    headers = new DefaultHttpHeaders().set(response.headers());
    MessageHeaders.removeConnectionHeaders(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    connection.ifPresent(at -> at.keepUntil(head.idleUntilMs().orElse(nowMs)));
    retryAfterMs = head.retryAfterMs();
    if (head.rejected() || head.otherTarget()) {
      rejection = head.otherTarget() ? AttemptFault.WRONG_TARGET : AttemptFault.REJECTED;
      mode = Mode.REJECTED;
      return;
    }
    boolean ours = head.requestId().filter(exchange.requestId()::equals).isPresent();
    if (!ours || head.encoded()) {
      String why = ours ? "its body is encoded" : "it names the request " + head.requestId();
      breakOff(AttemptFault.BROKEN_ANSWER, "the answer is not the target's own: " + why);
      return;
    }
    chooseMode(head);
  }

  private void chooseMode(AnswerHead head) {
    boolean error = status.code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    boolean goesOn = order.continuation().isPresent();
    if (goesOn && status.code() != HttpResponseStatus.OK.code()) {
      breakOff(AttemptFault.BROKEN_ANSWER, "the run does not go on: status " + status.code());
    } else if (head.stream() && !error) {
      mode = Mode.EVENTS;
      splitter = Optional.of(new EventSplitter(allocator(), EVENT_BYTES));
    } else if (error && order.kind().isRepeatable()) {
      mode = Mode.SERVER_ERROR;
      whole = allocator().buffer();
    } else {
      mode = Mode.WHOLE;
      whole = allocator().buffer();
    }
  }

  @Override
  public void onPart(ByteBuf part) {
    switch (mode) {
      case EVENTS -> passEvents(part);
      case PARTS -> exchange.passPart(part.retain());
      case WHOLE, SERVER_ERROR -> collect(part);
      default -> {}
    }
  }

  @Override
  public void onEnd() {
    if (done) {
      return;
    }
    switch (mode) {
      case REJECTED ->
          fail(rejection, retryAfterMs, "status " + status.code() + " of " + order.target().id());
      case SERVER_ERROR -> {
        exchange.hold(new HeldAnswer(status, headers, whole.retain()));
        fail(AttemptFault.SERVER_ERROR, 0, "status " + status.code());
      }
      case EVENTS -> {
        passRest();
        finishDelivered();
      }
      case WHOLE -> {
        exchange.passWhole(this, whole.retain());
        finishDelivered();
      }
      default -> finishDelivered();
    }
  }

  @Override
  public void onFailure(String detail) {
    fail(mode == Mode.AWAITING_HEAD ? AttemptFault.LOST : AttemptFault.BROKEN_ANSWER, 0, detail);
  }

  /** Ends the attempt without an answer for the caller. */
  void fail(AttemptFault fault, long pauseMs, String detail) {
    if (done) {
      return;
    }
    finish();
    exchange.failed(this, fault, pauseMs, detail);
  }

  private void finishDelivered() {
    finish();
    exchange.delivered(this);
  }

  private void breakOff(AttemptFault fault, String detail) {
    connection().ifPresent(TargetConnection::abandon);
    fail(fault, 0, detail);
  }

  private void finish() {
    if (done) {
      return;
    }
    done = true;
    splitter.ifPresent(EventSplitter::release);
    splitter = Optional.empty();
    if (mode != Mode.PARTS && whole.refCnt() > 0 && whole != Unpooled.EMPTY_BUFFER) {
      whole.release();
    }
    onEnded.run();
  }

  private void passEvents(ByteBuf part) {
    try {
      for (EventSplitter.Event event : splitter.orElseThrow().split(part)) {
        if (done) {
          event.bytes().release();
        } else if (!exchange.passEvent(this, event.id(), event.bytes())) {
          breakOff(AttemptFault.BROKEN_ANSWER, "events are missing after " + resumedAfter);
        }
      }
    } catch (IllegalStateException e) {
      breakOff(AttemptFault.BROKEN_ANSWER, e.getMessage());
    }
  }

  private void passRest() {
    exchange.startAnswer(this, OptionalLong.empty());
    splitter
        .map(EventSplitter::takeRest)
        .ifPresent(
            rest -> {
              if (rest.isReadable()) {
                exchange.passPart(rest);
              } else {
                rest.release();
              }
            });
  }

  private void collect(ByteBuf part) {
    whole.writeBytes(part);
    if (whole.readableBytes() > WHOLE_ANSWER_BYTES) {
      exchange.startAnswer(this, OptionalLong.empty());
      exchange.passPart(whole);
      mode = Mode.PARTS;
    }
  }

  private static ByteBufAllocator allocator() {
    return ByteBufAllocator.DEFAULT;
  }
}
