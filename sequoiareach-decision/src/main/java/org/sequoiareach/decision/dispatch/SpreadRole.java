package org.sequoiareach.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.model.route.TargetUse;

/**
 * Keeps in step with other daemons: tells them what this one holds and has in hand, and asks them
 * for a newer sheet or list of targets where the store has not given it. Not thread-safe.
 */
final class SpreadRole {

  /** How often changed use is told; a first event takes ten times as long. */
  private static final long TELL_MS = 100;

  /** How often unchanged use is told, so that it does not expire. */
  private static final long REPEAT_MS = 1_000;

  /** The daemons that are told at a time, which bounds the messages of a large fleet. */
  private static final int MOST_TOLD = 16;

  /** The time that the store is given to bring a sheet before a daemon is asked for it. */
  private static final long STORE_FIRST_MS = 250;

  /** The time within which a daemon answers, before another one is asked. */
  private static final long PULL_AGAIN_MS = 400;

  private final DispatchContext context;
  private final Map<String, PeerState> peers = new HashMap<>();
  private Map<String, TargetUse> lastUses = Map.of();
  private List<String> lastLeaving = List.of();
  private long lastRevision;
  private long nextTellMs;
  private long repeatMs;
  private long behindSinceMs = Long.MAX_VALUE;
  private long nextPullMs;
  private int nextPeer;

  SpreadRole(DispatchContext context) {
    this.context = context;
  }

  void sheetLearned(DispatchEvent.SheetLearned event) {
    if (event.sheet().revision() <= context.sheetRevision()) {
      return;
    }
    context.useSheet(event.sheet());
    context.log().add(new DispatchEffect.UseRoutingSheet(event.sheet()));
    context.note(
        "sheet-in-force",
        "",
        "",
        "",
        "revision=" + event.sheet().revision() + " from=" + event.source());
    tell(event.nowMs());
  }

  void peerTold(DispatchEvent.PeerStateTold event) {
    context.ledger().tell(event.nowMs(), event.daemonId(), event.uses());
    peers.put(event.daemonId(), new PeerState(event.sheetRevision(), event.targetsRevision()));
  }

  void pulled(DispatchEvent.PeerPulled event) {
    Optional<Member> asker = context.membership().find(event.daemonId());
    if (asker.isEmpty()) {
      return;
    }
    boolean known = event.targets() && context.targets().isKnown();
    context
        .log()
        .add(
            new DispatchEffect.AnswerPull(
                event.daemonId(),
                asker.get().address(),
                event.sheet() ? context.index().map(RouteIndex::sheet) : Optional.empty(),
                context.targets().revision(),
                known ? Optional.of(context.targets().listed()) : Optional.empty()));
  }

  void tick(long nowMs) {
    if (nowMs >= nextTellMs) {
      nextTellMs = nowMs + TELL_MS;
      Map<String, TargetUse> uses = context.ledger().ownUses();
      boolean changed =
          !uses.equals(lastUses)
              || lastRevision != context.sheetRevision()
              || !lastLeaving.equals(context.leavingLately(nowMs));
      if (changed || nowMs >= repeatMs) {
        tell(nowMs);
      }
    }
    pull(nowMs);
  }

  private void tell(long nowMs) {
    lastUses = context.ledger().ownUses();
    lastLeaving = context.leavingLately(nowMs);
    lastRevision = context.sheetRevision();
    repeatMs = nowMs + REPEAT_MS;
    List<Member> others = context.membership().livePeers();
    int told = Math.min(MOST_TOLD, others.size());
    for (int i = 0; i < told; i++) {
      Member member = others.get((nextPeer + i) % others.size());
      context
          .log()
          .add(
              new DispatchEffect.TellPeer(
                  member.daemonId(),
                  member.address(),
                  lastRevision,
                  context.targets().revision(),
                  lastUses,
                  lastLeaving));
    }
    nextPeer = others.isEmpty() ? 0 : (nextPeer + told) % others.size();
  }

  /** Asks the daemon that holds the newest sheet, once the store has had its time. */
  private void pull(long nowMs) {
    boolean sheet = peers.values().stream().anyMatch(peer -> peer.hasNewerSheet(context));
    boolean targets = peers.values().stream().anyMatch(peer -> peer.hasNewerTargets(context));
    if (!sheet && !targets) {
      behindSinceMs = Long.MAX_VALUE;
      return;
    }
    behindSinceMs = Math.min(behindSinceMs, nowMs);
    if (nowMs - behindSinceMs < STORE_FIRST_MS || nowMs < nextPullMs) {
      return;
    }
    nextPullMs = nowMs + PULL_AGAIN_MS;
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
    Member holder = holders.get((int) Long.remainderUnsigned(context.draw(), holders.size()));
    context.note(
        "pull",
        "",
        "",
        "",
        "from=" + holder.daemonId() + " sheet=" + sheet + " targets=" + targets);
    context
        .log()
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
