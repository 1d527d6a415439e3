package org.sequoiareach.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.decision.sheet.SheetEvent;
import org.sequoiareach.peer.PeerMessage;
import org.sequoiareach.peer.PeerTransport;
import org.sequoiareach.peer.SheetMessage;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Connects the synchronisation of sheets with the peer transport: effects become messages to other
 * daemons, and messages from them become events. Thread-safe.
 */
final class SheetBridge {

  private final EventSink events;
  private final PeerDirectory directory;
  private final CompletableFuture<PeerTransport> transport;

  SheetBridge(
      EventSink events, PeerDirectory directory, CompletableFuture<PeerTransport> transport) {
    this.events = events;
    this.directory = directory;
    this.transport = transport;
  }

  void handle(SheetEffect effect) {
    if (effect instanceof SheetEffect.AskSheetStatus ask) {
      send(ask.daemonId(), new SheetMessage.SheetStatusAsked(ask.sequence()));
    } else if (effect instanceof SheetEffect.AnswerSheetStatus answer) {
      send(
          answer.daemonId(),
          new SheetMessage.SheetStatusAnswered(answer.sequence(), answer.status()));
    } else if (effect instanceof SheetEffect.AnnounceSheet announce) {
      send(announce.daemonId(), new SheetMessage.SheetAnnounced(announce.status()));
    } else if (effect instanceof SheetEffect.PullSheet pull) {
      send(pull.daemonId(), new SheetMessage.SheetPull(pull.haveVersion(), pull.haveSections()));
    } else if (effect instanceof SheetEffect.SendSheetSections sections) {
      send(
          sections.daemonId(),
          new SheetMessage.SheetSections(
              sections.manifest(), sections.catalogue(), sections.organisations()));
    }
  }

  void onMessage(String fromDaemon, SheetMessage message) {
    long nowMs = MonotonicClock.nowMs();
    if (message instanceof SheetMessage.SheetStatusAsked asked) {
      events.post(new SheetEvent.SheetStatusAsked(nowMs, fromDaemon, asked.sequence()));
    } else if (message instanceof SheetMessage.SheetStatusAnswered answer) {
      events.post(
          new SheetEvent.SheetStatusAnswered(
              nowMs, fromDaemon, answer.sequence(), answer.status()));
    } else if (message instanceof SheetMessage.SheetAnnounced announced) {
      events.post(new SheetEvent.SheetStatusSeen(nowMs, fromDaemon, announced.status()));
    } else if (message instanceof SheetMessage.SheetPull pull) {
      events.post(
          new SheetEvent.SheetPulled(nowMs, fromDaemon, pull.haveVersion(), pull.haveSections()));
    } else if (message instanceof SheetMessage.SheetSections sections) {
      events.post(
          new SheetEvent.SheetSectionsReceived(
              nowMs,
              fromDaemon,
              sections.manifest(),
              sections.catalogue(),
              sections.organisations()));
    }
  }

  private void send(String daemonId, PeerMessage message) {
    // Send failures are ignored: the sheet guard that misses a message requests it again.
    transport.join().send(daemonId, directory.findAddress(daemonId).orElse(""), message);
  }
}
