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
import org.sequoiareach.daemon.attempt.RequestFailures;
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
 * Connects the reducer and the attempts with the peer transport. It forwards attempts to the
 * daemons that own their targets, accepts attempts that other daemons forward to this one, and
 * passes on messages about membership and sheets. Thread-safe.
 */
public final class PeerBridge implements AttemptForwarder, EffectHandler, PeerListener {

  private final EventSink events;
  private final PeerDirectory directory;
  private final Map<String, InboundAnswer> inbound = new ConcurrentHashMap<>();
  private final Map<String, String> originByAttempt = new ConcurrentHashMap<>();
  private final Map<String, TargetHint> hints = new ConcurrentHashMap<>();
  private final CompletableFuture<PeerTransport> transport = new CompletableFuture<>();
  private final MembershipBridge membershipBridge;
  private final SheetBridge sheetBridge;
  private final CompletableFuture<AttemptRunner> attemptRunner = new CompletableFuture<>();

  /**
   * Creates a bridge without a transport.
   *
   * @param events receives events for the reducer
   * @param directory finds the addresses of other daemons
   */
  public PeerBridge(EventSink events, PeerDirectory directory) {
    this.events = events;
    this.directory = directory;
    this.membershipBridge = new MembershipBridge(events, transport);
    this.sheetBridge = new SheetBridge(events, directory, transport);
  }

  /**
   * Sets the runner of attempts that other daemons forward to this one. Messages about such
   * attempts that arrive earlier block until then.
   *
   * @param runner the runner
   */
  public void setAttemptRunner(AttemptRunner runner) {
    attemptRunner.complete(runner);
  }

  /**
   * Sets the transport. Calls that send messages block until then.
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
    long remainingMs = forward.deadlineMs() - MonotonicClock.nowMs();
    if (address.isEmpty() || remainingMs <= 0) {
      return Flux.error(
          notSent("the address of daemon " + daemonId + " is unknown or the deadline has passed"));
    }
    InboundAnswer answer =
        new InboundAnswer(
            daemonId,
            forward.targetId(),
            bytes -> sendTo(daemonId, new AttemptMessage.GrantCredit(attemptId, bytes)));
    inbound.put(attemptId, answer);
    transport
        .join()
        .send(daemonId, address.get(), toOpenMessage(forward, content, remainingMs))
        .whenComplete((nothing, thrown) -> onSent(answer, thrown));
    return answer.parts().doFinally(signal -> inbound.remove(attemptId, answer));
  }

  @Override
  public void stop(String attemptId, boolean keepGeneration) {
    InboundAnswer answer = inbound.remove(attemptId);
    if (answer != null) {
      sendTo(answer.daemonId(), new AttemptMessage.CancelAttempt(attemptId, keepGeneration));
    }
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof MembershipEffect membership) {
      membershipBridge.handle(membership);
    } else if (effect instanceof SheetEffect sheet) {
      sheetBridge.handle(sheet);
    } else if (effect instanceof Effect.PublishHint publish) {
      hints.put(publish.hint().targetId(), toMessage(publish.hint()));
    } else if (effect instanceof Effect.RejectForwarded rejected) {
      reject(rejected);
    }
  }

  @Override
  public void onMessage(String fromDaemon, PeerMessage message) {
    if (message instanceof MembershipMessage membership) {
      membershipBridge.onMessage(fromDaemon, membership);
    } else if (message instanceof SheetMessage sheet) {
      sheetBridge.onMessage(fromDaemon, sheet);
    } else if (message instanceof AttemptMessage.OpenAttempt open) {
      acceptForwarded(fromDaemon, open);
    } else if (message instanceof AttemptMessage.CancelAttempt cancel) {
      cancelForwarded(cancel.attemptId(), cancel.keepGeneration());
    } else if (message instanceof AttemptMessage.AttemptHead head) {
      postHint(head.hint());
      findInbound(head.attemptId()).ifPresent(answer -> answer.onHead(head));
    } else if (message instanceof AttemptMessage.AttemptData data) {
      findInbound(data.attemptId()).ifPresent(answer -> answer.onData(data));
    } else if (message instanceof AttemptMessage.AttemptEnd end) {
      postHint(end.hint());
      findInbound(end.attemptId()).ifPresent(answer -> answer.onEnd(end.outcome()));
    } else if (message instanceof AttemptMessage.AttemptRejected rejected) {
      postHint(rejected.hint());
      findInbound(rejected.attemptId()).ifPresent(answer -> answer.onEnd(toOutcome(rejected)));
    }
  }

  @Override
  public void onPeerLost(String daemonId) {
    membershipBridge.onPeerLost(daemonId);
    String message = "the connection to daemon " + daemonId + " was lost";
    Outcome lost = Outcome.failed(Verdict.MAY_HAVE_RUN, Reason.OWNER_FAILED, message);
    for (InboundAnswer answer : inbound.values()) {
      // An attempt that was not sent yet is sent over the next connection.
      if (answer.isSent() && answer.daemonId().equals(daemonId)) {
        answer.onEnd(lost);
      }
    }
    originByAttempt.forEach(
        (attemptId, origin) -> {
          if (origin.equals(daemonId)) {
            cancelForwarded(attemptId, true);
          }
        });
  }

  private void acceptForwarded(String fromDaemon, AttemptMessage.OpenAttempt open) {
    long nowMs = MonotonicClock.nowMs();
    String attemptId = open.attemptId();
    originByAttempt.put(attemptId, fromDaemon);
    attemptRunner
        .join()
        .registerForwarded(
            attemptId, new ForwardedAnswerRelay(open, new AnswerSender(fromDaemon, open)));
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

  private void cancelForwarded(String attemptId, boolean keepGeneration) {
    unregister(attemptId);
    events.post(
        new RequestEvent.ForwardedAttemptCancelled(
            MonotonicClock.nowMs(), attemptId, keepGeneration));
  }

  private void reject(Effect.RejectForwarded rejected) {
    unregister(rejected.attemptId());
    sendTo(
        rejected.daemonId(),
        new AttemptMessage.AttemptRejected(
            rejected.attemptId(),
            rejected.reason(),
            rejected.message(),
            rejected.retryAfterMs(),
            Optional.empty()));
  }

  private void unregister(String attemptId) {
    originByAttempt.remove(attemptId);
    attemptRunner.join().unregisterForwarded(attemptId);
  }

  private static void onSent(InboundAnswer answer, Throwable thrown) {
    if (thrown == null) {
      answer.markSent();
      return;
    }
    Throwable cause = thrown.getCause() == null ? thrown : thrown.getCause();
    Outcome outcome = RequestFailures.toOutcome(RequestFailures.classify(cause));
    answer.onEnd(outcome);
  }

  private void postHint(Optional<TargetHint> hint) {
    hint.ifPresent(
        received ->
            events.post(
                new PeerEvent.HintReceived(
                    MonotonicClock.nowMs(),
                    new LoadHint(
                        received.targetId(),
                        received.running(),
                        received.queued(),
                        received.expectedFill(),
                        received.tokenGapMs()))));
  }

  private Optional<InboundAnswer> findInbound(String attemptId) {
    return Optional.ofNullable(inbound.get(attemptId));
  }

  private void sendTo(String daemonId, PeerMessage message) {
    transport.join().send(daemonId, directory.findAddress(daemonId).orElse(""), message);
  }

  private static AttemptMessage.OpenAttempt toOpenMessage(
      Effect.Forward forward, RequestContent content, long remainingMs) {
    return new AttemptMessage.OpenAttempt(
        forward.attemptId(),
        forward.targetId(),
        forward.spec(),
        forward.priority(),
        forward.sheetVersion(),
        remainingMs,
        content.method(),
        content.path(),
        content.headers(),
        content.body());
  }

  private static Outcome toOutcome(AttemptMessage.AttemptRejected rejected) {
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

  /** Sends the answer of an attempt to the daemon that forwarded it. */
  private final class AnswerSender implements ForwardedAnswerRelay.MessageSender {

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
      sendTo(daemonId, new AttemptMessage.AttemptEnd(opened.attemptId(), outcome, hint));
      if (outcome.succeeded()) {
        unregister(opened.attemptId());
      } else {
        cancelForwarded(opened.attemptId(), true);
      }
    }
  }
}
