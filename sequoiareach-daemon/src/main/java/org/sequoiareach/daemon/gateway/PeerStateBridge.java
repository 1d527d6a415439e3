package org.sequoiareach.daemon.gateway;

import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.AvailabilityEvent;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.peer.StateMessage;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Translates between {@link StateMessage}s of peers and the events and effects of the reducer.
 *
 * <p>Gateways use these messages to announce which sheet, targets and load they know and to fetch
 * newer ones from each other. Thread-safe.
 */
final class PeerStateBridge implements EffectHandler {

  private final EventSink events;
  private final PeerMessageSender sender;

  PeerStateBridge(EventSink events, PeerMessageSender sender) {
    this.events = events;
    this.sender = sender;
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.TellPeer tell) {
      sender.send(
          tell.daemonId(),
          tell.address(),
          new StateMessage.StateAnnouncement(
              tell.sheetRevision(),
              tell.targetsRevision(),
              tell.uses(),
              tell.leaving(),
              tell.outcomes(),
              tell.sheetVersion(),
              tell.sum(),
              tell.daemons(),
              tell.fleet()));
    } else if (effect instanceof DispatchEffect.TellStoreNews tell) {
      sender.send(
          tell.daemonId(),
          tell.address(),
          new StateMessage.StoreNewsAnnouncement(MonotonicClock.nowMs(), tell.news()));
    } else if (effect instanceof DispatchEffect.PullState pull) {
      sender.send(
          pull.daemonId(),
          pull.address(),
          new StateMessage.StatePull(pull.sheet(), pull.targets()));
    } else if (effect instanceof DispatchEffect.AnswerPull reply) {
      sender.send(
          reply.daemonId(),
          reply.address(),
          new StateMessage.StateSnapshot(
              reply.sheet(),
              reply
                  .targets()
                  .map(list -> new StateMessage.TargetList(reply.targetsRevision(), list)),
              reply.maintenance()));
    }
  }

  void onMessage(String fromDaemon, StateMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof StateMessage.StateAnnouncement announced) {
      events.post(
          new DispatchEvent.PeerStateTold(
              nowMs,
              fromDaemon,
              announced.sheetRevision(),
              announced.targetsRevision(),
              announced.uses(),
              announced.leaving(),
              announced.outcomes(),
              announced.sheetVersion(),
              announced.sum(),
              announced.daemons(),
              announced.fleet()));
    } else if (message instanceof StateMessage.StoreNewsAnnouncement told) {
      events.post(new DispatchEvent.StoreNewsTold(nowMs, fromDaemon, told.sentMs(), told.news()));
    } else if (message instanceof StateMessage.StatePull pull) {
      events.post(new DispatchEvent.PeerPulled(nowMs, fromDaemon, pull.sheet(), pull.targets()));
    } else if (message instanceof StateMessage.StateSnapshot held) {
      // Before the sheet, by which this daemon may begin to route.
      held.maintenance()
          .ifPresent(
              zones ->
                  events.post(new AvailabilityEvent.MaintenanceLearned(nowMs, zones, fromDaemon)));
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
}
