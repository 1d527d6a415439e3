package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.route.FleetState;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StoreHoldings;
import org.sequoiareach.model.route.TargetOutcomes;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.ZoneMaintenance;

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

  /** The interval at which a relay sends unchanged sums; several fit into the silence allowed. */
  private static final long RELAY_REFRESH_INTERVAL_MS = 400;

  /** The time to wait for an update from the store before another daemon is asked for it. */
  private static final long STORE_GRACE_MS = 250;

  /** The time to wait for an update from other daemons that was not requested. */
  private static final long NEWS_GRACE_MS = 100;

  /**
   * The sheets that are sent on request within {@link #PULL_RETRY_MS}, so that a large sheet does
   * not fill the link of the first daemons that hold it; who gets none asks another holder then.
   */
  private static final int MAX_SHEETS_SENT = 4;

  /** The time to wait for the answer of a daemon before another one is asked. */
  private static final long PULL_RETRY_MS = 400;

  private final DispatchContext context;
  private final PeerRotation recipients;
  private final ZoneRelays relays;
  private final StoreFollowHandler follow;
  private final Map<String, StoreHoldings> peers = new HashMap<>();
  private Map<String, TargetUse> lastUses = Map.of();
  private List<String> lastLeaving = List.of();
  private Map<String, TargetOutcomes> lastOutcomes = Map.of();
  private FleetState lastFleet = FleetState.NONE;
  private long lastSheetRevision;
  private long nextSendMs;
  private long nextRefreshMs;
  private long staleSinceMs = Long.MAX_VALUE;
  private long nextPullMs;
  private long sheetsSentSinceMs = Long.MIN_VALUE / 2;
  private int sheetsSent;

  PeerSyncHandler(DispatchContext context, StoreFollowHandler follow) {
    this.context = context;
    this.follow = follow;
    this.recipients = new PeerRotation(context.membership());
    this.relays = new ZoneRelays(context.membership(), context.settings().zone());
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

  /** Returns whether a sheet replaces the current one. */
  private boolean isNewer(RoutingSheet sheet) {
    return new StoreHoldings(sheet.version(), sheet.revision(), 0, 0L)
        .hasNewerSheetThan(context.holdings());
  }

  /**
   * Processes the state of another daemon.
   *
   * @return whether its use and outcomes count: only a relay adds up what single daemons report,
   *     and the others count the sums that relays tell
   */
  boolean onPeerStateTold(DispatchEvent.PeerStateTold event) {
    rememberHoldings(event);
    context.recordDaemons(event.daemons());
    if (event.sum()) {
      if (!relays.onSumHeard(event.nowMs(), event.daemonId()) || relays.isSelf()) {
        return false;
      }
      context.targetUse().updateAllPeers(event.nowMs(), event.daemonId(), event.uses());
      context.fleetState().updateAllPeers(event.nowMs(), event.daemonId(), event.fleet());
      context.outcomes().retainPeer(event.daemonId());
      return true;
    }
    if (relays.isNeeded() && !relays.isSelf()) {
      return false;
    }
    relays.onReportHeard(event.nowMs(), event.daemonId());
    context.targetUse().updatePeer(event.nowMs(), event.daemonId(), event.uses());
    context.fleetState().updatePeer(event.nowMs(), event.daemonId(), event.fleet());
    return true;
  }

  private void rememberHoldings(DispatchEvent.PeerStateTold event) {
    peers.put(
        event.daemonId(),
        new StoreHoldings(
            event.sheetVersion(),
            event.sheetRevision(),
            event.targetsRevision(),
            event.fleet().maintenance().map(ZoneMaintenance::revision).orElse(0L)));
  }

  void onStoreNewsTold(DispatchEvent.StoreNewsTold event) {
    peers.put(event.daemonId(), event.news().holdings());
  }

  void onPeerPulled(DispatchEvent.PeerPulled event) {
    Optional<Member> requester = context.membership().find(event.daemonId());
    if (requester.isEmpty()) {
      return;
    }
    boolean sendTargets = event.targets() && context.targets().hasList();
    boolean sendSheet = event.sheet() && maySendSheet(event.nowMs());
    if (!sendSheet && !sendTargets) {
      return;
    }
    context
        .effects()
        .add(
            new DispatchEffect.AnswerPull(
                event.daemonId(),
                requester.get().address(),
                sendSheet ? context.index().map(RouteIndex::sheet) : Optional.empty(),
                context.targets().revision(),
                sendTargets ? Optional.of(context.targets().listed()) : Optional.empty(),
                context.maintenance().known()));
  }

  private boolean maySendSheet(long nowMs) {
    if (nowMs - sheetsSentSinceMs >= PULL_RETRY_MS) {
      sheetsSentSinceMs = nowMs;
      sheetsSent = 0;
    }
    sheetsSent++;
    return sheetsSent <= MAX_SHEETS_SENT;
  }

  void tick(long nowMs) {
    relays.tick(nowMs);
    if (nowMs >= nextSendMs) {
      nextSendMs = nowMs + SEND_INTERVAL_MS;
      Map<String, TargetUse> uses = usesToTell();
      boolean changed =
          !uses.equals(lastUses)
              || lastSheetRevision != context.sheetRevision()
              || !lastLeaving.equals(context.recentlyLeaving(nowMs))
              || !lastOutcomes.equals(context.outcomes().localFailing(nowMs))
              || !lastFleet.equals(fleetToTell());
      if (changed || nowMs >= nextRefreshMs) {
        sendState(nowMs);
      }
    }
    pullIfStale(nowMs);
  }

  private Map<String, TargetUse> usesToTell() {
    return relays.isSelf()
        ? context.targetUse().sumOf(daemonId -> true)
        : context.targetUse().localUses();
  }

  private FleetState fleetToTell() {
    return relays.isSelf()
        ? context.fleetState().sumOf(daemonId -> true)
        : context.fleetState().local();
  }

  private void sendState(long nowMs) {
    lastUses = usesToTell();
    lastLeaving = context.recentlyLeaving(nowMs);
    lastOutcomes = context.outcomes().localFailing(nowMs);
    lastSheetRevision = context.sheetRevision();
    lastFleet = fleetToTell();
    nextRefreshMs = nowMs + (relays.isSelf() ? RELAY_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS);
    if (relays.isSelf()) {
      sendSums(nowMs);
      return;
    }
    List<Member> told =
        relays.isNeeded()
            ? relays.own().map(List::of).orElse(List.of())
            : recipients.nextRecipients();
    told.forEach(member -> tell(member, lastUses, lastOutcomes, false, lastFleet));
  }

  /**
   * Tells each daemon of the zone the sum of all others, and the relays of other zones that of this
   * zone.
   */
  private void sendSums(long nowMs) {
    Set<String> zoneMembers = new HashSet<>();
    for (Member member : context.membership().livePeers()) {
      if (!relays.tellsSumsTo(member)) {
        continue;
      }
      if (relays.isOfZone(member)) {
        zoneMembers.add(member.daemonId());
      }
      Predicate<String> others = daemonId -> !daemonId.equals(member.daemonId());
      tell(
          member,
          context.targetUse().sumOf(others),
          context.outcomes().sumOfFailing(nowMs, others),
          true,
          context.fleetState().sumOf(others));
    }
    Map<String, TargetUse> uses = context.targetUse().sumOf(zoneMembers::contains);
    Map<String, TargetOutcomes> outcomes =
        context.outcomes().sumOfFailing(nowMs, zoneMembers::contains);
    FleetState fleet = context.fleetState().sumOf(zoneMembers::contains);
    relays.others().forEach(relay -> tell(relay, uses, outcomes, false, fleet));
  }

  private void tell(
      Member member,
      Map<String, TargetUse> uses,
      Map<String, TargetOutcomes> outcomes,
      boolean sum,
      FleetState fleet) {
    context
        .effects()
        .add(
            new DispatchEffect.TellPeer(
                member.daemonId(),
                member.address(),
                lastSheetRevision,
                context.targets().revision(),
                uses,
                lastLeaving,
                outcomes,
                context.sheetVersion(),
                sum,
                context.maxDaemons(),
                fleet));
  }

  /** Asks a random daemon with newer state, if what it holds does not arrive by itself. */
  private void pullIfStale(long nowMs) {
    StoreHoldings own = context.holdings();
    peers.keySet().removeIf(id -> !context.membership().isLivePeer(id));
    boolean sheet = peers.values().stream().anyMatch(peer -> peer.hasNewerSheetThan(own));
    boolean targets = peers.values().stream().anyMatch(peer -> peer.hasNewerTargetsThan(own));
    if (!sheet && !targets) {
      staleSinceMs = Long.MAX_VALUE;
      return;
    }
    staleSinceMs = Math.min(staleSinceMs, nowMs);
    if (nowMs - staleSinceMs < graceMs(sheet) || nowMs < nextPullMs) {
      return;
    }
    nextPullMs = nowMs + PULL_RETRY_MS;
    List<String> holders =
        peers.entrySet().stream()
            .filter(
                peer ->
                    sheet && peer.getValue().hasNewerSheetThan(own)
                        || !sheet && peer.getValue().hasNewerTargetsThan(own))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    String holder = holders.get((int) Long.remainderUnsigned(context.randomLong(), holders.size()));
    context.logDecision(
        "pull", "", "", "", "from=" + holder + " sheet=" + sheet + " targets=" + targets);
    context
        .membership()
        .find(holder)
        .map(Member::address)
        .ifPresent(
            address ->
                context
                    .effects()
                    .add(new DispatchEffect.PullState(holder, address, sheet, targets)));
  }

  /** Returns how long to wait for news: a sheet is only announced, but targets are passed on. */
  private long graceMs(boolean sheet) {
    if (!follow.reliesOnReaders()) {
      return STORE_GRACE_MS;
    }
    return sheet ? 0 : NEWS_GRACE_MS;
  }
}
