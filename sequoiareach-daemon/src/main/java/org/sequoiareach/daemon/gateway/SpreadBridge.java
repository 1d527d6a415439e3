package org.sequoiareach.daemon.gateway;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.StateMessage;
import org.sequoiareach.store.time.MonotonicClock;

/** Carries what daemons that route by a sheet tell and ask each other. Thread-safe. */
final class SpreadBridge implements EffectHandler {

  private static final Logger LOGGER = LogManager.getLogger(SpreadBridge.class);

  private final EventSink events;
  private final PeerTransport transport;

  SpreadBridge(EventSink events, PeerTransport transport) {
    this.events = events;
    this.transport = transport;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.TellPeer tell) {
      send(
          tell.daemonId(),
          tell.address(),
          new StateMessage.StateAnnouncement(
              tell.sheetRevision(), tell.targetsRevision(), tell.uses(), tell.leaving()));
    } else if (effect instanceof DispatchEffect.PullState pull) {
      send(
          pull.daemonId(),
          pull.address(),
          new StateMessage.StatePull(pull.sheet(), pull.targets()));
    } else if (effect instanceof DispatchEffect.AnswerPull answer) {
      send(
          answer.daemonId(),
          answer.address(),
          new StateMessage.StateSnapshot(
              answer.sheet(),
              answer
                  .targets()
                  .map(list -> new StateMessage.TargetList(answer.targetsRevision(), list))));
    }
  }

  void onMessage(String fromDaemon, StateMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof StateMessage.StateAnnouncement told) {
      events.post(
          new DispatchEvent.PeerStateTold(
              nowMs,
              fromDaemon,
              told.sheetRevision(),
              told.targetsRevision(),
              told.uses(),
              told.leaving()));
    } else if (message instanceof StateMessage.StatePull pull) {
      events.post(new DispatchEvent.PeerPulled(nowMs, fromDaemon, pull.sheet(), pull.targets()));
    } else if (message instanceof StateMessage.StateSnapshot held) {
      held.sheet()
          .ifPresent(
              sheet -> events.post(new DispatchEvent.SheetLearned(nowMs, sheet, fromDaemon)));
      held.targets()
          .ifPresent(
              list ->
                  events.post(
                      new DispatchEvent.TargetsListed(
                          nowMs, list.revision(), list.targets(), fromDaemon)));
    }
  }

  private void send(String daemonId, String address, PeerMessage message) {
    transport
        .send(daemonId, address, message)
        .exceptionally(
            thrown -> {
              // Told again within a second; membership finds out whether the daemon lives.
              LOGGER.debug("{} was not told: {}", daemonId, thrown.getMessage());
              return null;
            });
  }
}
