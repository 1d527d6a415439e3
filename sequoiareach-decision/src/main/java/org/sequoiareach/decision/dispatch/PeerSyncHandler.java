package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetOutcomes;
import org.sequoiareach.model.route.TargetUse;

/**
 * Synchronizes state with other daemons: sends them the revisions and target use of this one, and
 * requests a newer routing sheet or target list if the store has not delivered it. Not thread-safe.
 */
final class PeerSyncHandler {

  /**
   * The minimum interval between messages about changed state; the first token of a generation
   * takes ten times as long.
   */
  private static final long SEND_INTERVAL_MS = 100;

  /** The interval at which unchanged state is sent again, so that it does not expire at peers. */
  private static final long REFRESH_INTERVAL_MS = 1_000;

  /** The time to wait for an update from the store before another daemon is asked for it. */
  private static final long STORE_GRACE_MS = 250;

  /** The time to wait for the answer of a daemon before another one is asked. */
  private static final long PULL_RETRY_MS = 400;

  private final DispatchContext context;
  private final PeerRotation recipients;
  private final Map<String, PeerState> peers = new HashMap<>();
  private Map<String, TargetUse> lastUses = Map.of();
  private List<String> lastLeaving = List.of();
  private Map<String, TargetOutcomes> lastOutcomes = Map.of();
  private long lastSheetRevision;
  private long nextSendMs;
  private long nextRefreshMs;
  private long staleSinceMs = Long.MAX_VALUE;
  private long nextPullMs;

  PeerSyncHandler(DispatchContext context) {
    this.context = context;
    this.recipients = new PeerRotation(context.membership());
  }

  void onSheetLearned(DispatchEvent.SheetLearned event) {
    if (!isNewer(event.sheet())) {
      return;
    }
    context.useSheet(event.sheet());
    context.effects().add(new DispatchEffect.UseRoutingSheet(event.sheet()));
    context.logDecision(
        "sheet-in-force",
        "",
        "",
        "",
        "revision=" + event.sheet().revision() + " from=" + event.source());
    sendState(event.nowMs());
  }

  /**
   * Returns whether a sheet replaces the current one. Its version decides, as a store that was
   * restored from an older copy returns an older sheet at a later position.
   */
  private boolean isNewer(RoutingSheet sheet) {
    return sheet.version() > context.sheetVersion()
        || sheet.version() == context.sheetVersion() && sheet.revision() > context.sheetRevision();
  }

  void onPeerStateTold(DispatchEvent.PeerStateTold event) {
    context.targetUse().updatePeer(event.nowMs(), event.daemonId(), event.uses());
    peers.put(event.daemonId(), new PeerState(event.sheetRevision(), event.targetsRevision()));
  }

  void onPeerPulled(DispatchEvent.PeerPulled event) {
    Optional<Member> requester = context.membership().find(event.daemonId());
    if (requester.isEmpty()) {
      return;
    }
    boolean sendTargets = event.targets() && context.targets().hasList();
    context
        .effects()
        .add(
            new DispatchEffect.AnswerPull(
                event.daemonId(),
                requester.get().address(),
                event.sheet() ? context.index().map(RouteIndex::sheet) : Optional.empty(),
                context.targets().revision(),
                sendTargets ? Optional.of(context.targets().listed()) : Optional.empty()));
  }

  void tick(long nowMs) {
    if (nowMs >= nextSendMs) {
      nextSendMs = nowMs + SEND_INTERVAL_MS;
      Map<String, TargetUse> uses = context.targetUse().localUses();
      boolean changed =
          !uses.equals(lastUses)
              || lastSheetRevision != context.sheetRevision()
              || !lastLeaving.equals(context.recentlyLeaving(nowMs))
              || !lastOutcomes.equals(context.outcomes().localFailing(nowMs));
      if (changed || nowMs >= nextRefreshMs) {
        sendState(nowMs);
      }
    }
    pullIfStale(nowMs);
  }

  private void sendState(long nowMs) {
    lastUses = context.targetUse().localUses();
    lastLeaving = context.recentlyLeaving(nowMs);
    lastOutcomes = context.outcomes().localFailing(nowMs);
    lastSheetRevision = context.sheetRevision();
    nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
    for (Member member : recipients.nextRecipients()) {
      context
          .effects()
          .add(
              new DispatchEffect.TellPeer(
                  member.daemonId(),
                  member.address(),
                  lastSheetRevision,
                  context.targets().revision(),
                  lastUses,
                  lastLeaving,
                  lastOutcomes));
    }
  }

  /** Asks a random daemon with newer state, after {@value #STORE_GRACE_MS} ms without update. */
  private void pullIfStale(long nowMs) {
    boolean sheet = peers.values().stream().anyMatch(peer -> peer.hasNewerSheet(context));
    boolean targets = peers.values().stream().anyMatch(peer -> peer.hasNewerTargets(context));
    if (!sheet && !targets) {
      staleSinceMs = Long.MAX_VALUE;
      return;
    }
    staleSinceMs = Math.min(staleSinceMs, nowMs);
    if (nowMs - staleSinceMs < STORE_GRACE_MS || nowMs < nextPullMs) {
      return;
    }
    nextPullMs = nowMs + PULL_RETRY_MS;
    List<Member> holders =
        context.membership().livePeers().stream()
            .filter(member -> peers.containsKey(member.daemonId()))
            .filter(
                member ->
                    sheet && peers.get(member.daemonId()).hasNewerSheet(context)
                        || targets && peers.get(member.daemonId()).hasNewerTargets(context))
            .toList();
    if (holders.isEmpty()) {
      return;
    }
    Member holder = holders.get((int) Long.remainderUnsigned(context.randomLong(), holders.size()));
    context.logDecision(
        "pull",
        "",
        "",
        "",
        "from=" + holder.daemonId() + " sheet=" + sheet + " targets=" + targets);
    context
        .effects()
        .add(new DispatchEffect.PullState(holder.daemonId(), holder.address(), sheet, targets));
  }

  private record PeerState(long sheetRevision, long targetsRevision) {

    private boolean hasNewerSheet(DispatchContext context) {
      return sheetRevision > context.sheetRevision();
    }

    private boolean hasNewerTargets(DispatchContext context) {
      return targetsRevision > context.targets().revision();
    }
  }
}
