package org.sequoiareach.daemon.peer;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiareach.daemon.answer.AnswerPart;
import org.sequoiareach.daemon.answer.RequestContent;
import org.sequoiareach.daemon.attempt.AttemptForwarder;
import org.sequoiareach.daemon.attempt.AttemptRunner;
import org.sequoiareach.daemon.attempt.Failures;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PeerEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.model.platform.TargetHint;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.RequestFailedException;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.peer.AttemptMessage;
import org.sequoiareach.peer.MembershipMessage;
import org.sequoiareach.peer.PeerListener;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.SheetMessage;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Carries attempts between daemons: those of this daemon's callers to the owners of their targets,
 * and those that other daemons forwarded here. Thread-safe.
 */
public final class PeerBridge implements AttemptForwarder, EffectHandler, PeerListener {

  private final EventSink events;
  private final PeerDirectory directory;
  private final Map<String, InboundAnswer> inbound = new ConcurrentHashMap<>();
  private final Map<String, String> forwardedFrom = new ConcurrentHashMap<>();
  private final Map<String, TargetHint> hints = new ConcurrentHashMap<>();
  private final CompletableFuture<PeerTransport> transport = new CompletableFuture<>();
  private final MembershipBridge members;
  private final SheetBridge sheets;
  private final CompletableFuture<AttemptRunner> attempts = new CompletableFuture<>();

  /**
   * Creates a bridge without a transport.
   *
   * @param events the reducer's sink
   * @param directory knows the addresses of other daemons
   */
  public PeerBridge(EventSink events, PeerDirectory directory) {
    this.events = events;
    this.directory = directory;
    this.members = new MembershipBridge(events, transport);
    this.sheets = new SheetBridge(events, directory, transport);
  }

  /**
   * Gives the bridge what runs attempts forwarded here.
   *
   * @param runner the runner
   */
  public void setRunner(AttemptRunner runner) {
    attempts.complete(runner);
  }

  /**
   * Gives the bridge its transport. Messages received before this wait for it.
   *
   * @param started the transport
   */
  public void setTransport(PeerTransport started) {
    transport.complete(started);
  }

  @Override
  public Flux<AnswerPart> forward(Effect.Forward forward, RequestContent content) {
    String attemptId = forward.attemptId();
    String daemonId = forward.daemonId();
    Optional<String> address = directory.findAddress(daemonId);
    long leftMs = forward.deadlineMs() - MonotonicClock.nowMs();
    if (address.isEmpty() || leftMs <= 0) {
      return Flux.error(notSent("daemon " + daemonId + " has no known address, or time is up"));
    }
    InboundAnswer answer =
        new InboundAnswer(
            daemonId,
            forward.targetId(),
            bytes -> post(daemonId, new AttemptMessage.GrantCredit(attemptId, bytes)));
    inbound.put(attemptId, answer);
    transport
        .join()
        .send(daemonId, address.get(), open(forward, content, leftMs))
        .whenComplete((nothing, thrown) -> sent(answer, thrown));
    return answer.parts().doFinally(signal -> inbound.remove(attemptId, answer));
  }

  @Override
  public void stop(String attemptId, boolean keepGeneration) {
    InboundAnswer answer = inbound.remove(attemptId);
    if (answer != null) {
      post(answer.daemonId(), new AttemptMessage.CancelAttempt(attemptId, keepGeneration));
    }
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof MembershipEffect membership) {
      members.handle(membership);
    } else if (effect instanceof SheetEffect sheet) {
      sheets.handle(sheet);
    } else if (effect instanceof Effect.PublishHint publish) {
      hints.put(publish.hint().targetId(), toMessage(publish.hint()));
    } else if (effect instanceof Effect.RejectForwarded rejected) {
      reject(rejected);
    }
  }

  @Override
  public void onMessage(String fromDaemon, PeerMessage message) {
    if (message instanceof MembershipMessage membership) {
      members.onMessage(fromDaemon, membership);
    } else if (message instanceof SheetMessage sheet) {
      sheets.onMessage(fromDaemon, sheet);
    } else if (message instanceof AttemptMessage.OpenAttempt open) {
      opened(fromDaemon, open);
    } else if (message instanceof AttemptMessage.CancelAttempt cancel) {
      cancelled(cancel.attemptId(), cancel.keepGeneration());
    } else if (message instanceof AttemptMessage.AttemptHead head) {
      take(head.hint());
      find(head.attemptId()).ifPresent(answer -> answer.head(head));
    } else if (message instanceof AttemptMessage.AttemptData data) {
      find(data.attemptId()).ifPresent(answer -> answer.data(data));
    } else if (message instanceof AttemptMessage.AttemptEnd end) {
      take(end.hint());
      find(end.attemptId()).ifPresent(answer -> answer.end(end.outcome()));
    } else if (message instanceof AttemptMessage.AttemptRejected rejected) {
      take(rejected.hint());
      find(rejected.attemptId()).ifPresent(answer -> answer.end(outcome(rejected)));
    }
  }

  @Override
  public void onPeerLost(String daemonId) {
    members.onPeerLost(daemonId);
    String message = "the connection with daemon " + daemonId + " was lost";
    Outcome lost = Outcome.failed(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, message);
    for (InboundAnswer answer : inbound.values()) {
      // One that still waits to be sent goes over the next connection.
      if (answer.isSent() && answer.daemonId().equals(daemonId)) {
        answer.end(lost);
      }
    }
    forwardedFrom.forEach(
        (attemptId, from) -> {
          if (from.equals(daemonId)) {
            cancelled(attemptId, true);
          }
        });
  }

  private void opened(String fromDaemon, AttemptMessage.OpenAttempt open) {
    long nowMs = MonotonicClock.nowMs();
    String attemptId = open.attemptId();
    forwardedFrom.put(attemptId, fromDaemon);
    attempts
        .join()
        .openForwarded(attemptId, new ForwardedAttempt(open, new AnswerSender(fromDaemon, open)));
    events.post(
        new RequestEvent.AttemptForwarded(
            nowMs,
            fromDaemon,
            attemptId,
            open.targetId(),
            open.spec(),
            open.priority(),
            open.sheetVersion(),
            open.deadlineMs(nowMs)));
  }

  private void cancelled(String attemptId, boolean keepGeneration) {
    forget(attemptId);
    events.post(
        new RequestEvent.ForwardedAttemptCancelled(
            MonotonicClock.nowMs(), attemptId, keepGeneration));
  }

  private void reject(Effect.RejectForwarded rejected) {
    forget(rejected.attemptId());
    post(
        rejected.daemonId(),
        new AttemptMessage.AttemptRejected(
            rejected.attemptId(),
            rejected.reason(),
            rejected.message(),
            rejected.retryAfterMs(),
            Optional.empty()));
  }

  private void forget(String attemptId) {
    forwardedFrom.remove(attemptId);
    attempts.join().closeForwarded(attemptId);
  }

  private static void sent(InboundAnswer answer, Throwable thrown) {
    if (thrown == null) {
      answer.markSent();
      return;
    }
    Throwable cause = thrown.getCause() == null ? thrown : thrown.getCause();
    Outcome outcome = Failures.outcome(Failures.classify(cause));
    answer.end(outcome);
  }

  private void take(Optional<TargetHint> hint) {
    hint.ifPresent(
        told ->
            events.post(
                new PeerEvent.HintReceived(
                    MonotonicClock.nowMs(),
                    new LoadHint(
                        told.targetId(),
                        told.running(),
                        told.queued(),
                        told.expectedFill(),
                        told.tokenGapMs()))));
  }

  private Optional<InboundAnswer> find(String attemptId) {
    return Optional.ofNullable(inbound.get(attemptId));
  }

  private void post(String daemonId, PeerMessage message) {
    transport.join().send(daemonId, directory.findAddress(daemonId).orElse(""), message);
  }

  private static AttemptMessage.OpenAttempt open(
      Effect.Forward forward, RequestContent content, long leftMs) {
    return new AttemptMessage.OpenAttempt(
        forward.attemptId(),
        forward.targetId(),
        forward.spec(),
        forward.priority(),
        forward.sheetVersion(),
        leftMs,
        content.method(),
        content.path(),
        content.headers(),
        content.body());
  }

  private static Outcome outcome(AttemptMessage.AttemptRejected rejected) {
    return new Outcome(
        Verdict.NOT_RUN,
        Optional.of(rejected.reason()),
        rejected.message(),
        0,
        rejected.retryAfterMs());
  }

  private static RequestFailedException notSent(String message) {
    return new RequestFailedException(
        Verdict.NOT_RUN, Reason.OWNER_FAILED, message, OptionalLong.empty());
  }

  private static TargetHint toMessage(LoadHint hint) {
    return new TargetHint(
        hint.targetId(), hint.running(), hint.queued(), hint.expectedFill(), hint.tokenGapMs());
  }

  /** Sends the answer of one attempt to the daemon that forwarded it. */
  private final class AnswerSender implements ForwardedAttempt.MessageSender {

    private final String daemonId;
    private final AttemptMessage.OpenAttempt opened;

    private AnswerSender(String daemonId, AttemptMessage.OpenAttempt opened) {
      this.daemonId = daemonId;
      this.opened = opened;
    }

    @Override
    public Mono<Void> send(AttemptMessage message) {
      String address = directory.findAddress(daemonId).orElse("");
      return Mono.fromFuture(() -> transport.join().send(daemonId, address, message));
    }

    @Override
    public void end(Outcome outcome) {
      Optional<TargetHint> hint = Optional.ofNullable(hints.get(opened.targetId()));
      post(daemonId, new AttemptMessage.AttemptEnd(opened.attemptId(), outcome, hint));
      if (outcome.succeeded()) {
        forget(opened.attemptId());
      } else {
        cancelled(opened.attemptId(), true);
      }
    }
  }
}
