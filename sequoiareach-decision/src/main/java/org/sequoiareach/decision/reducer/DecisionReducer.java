package org.sequoiareach.decision.reducer;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.BudgetEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PeerEvent;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.RequestEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.placement.AdmissionFactory;
import org.sequoiareach.decision.routing.RoutingStrategy;
import org.sequoiareach.decision.sheet.SheetEffect;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.request.Outcome;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Joins the roles of a daemon: entry of requests and owner of targets. It decides whether the
 * daemon is ready and hands each event to the role it concerns.
 */
public final class DecisionReducer implements Reducer {

  private static final Sheet NO_SHEET = new Sheet(0, List.of(), List.of(), List.of());

  private final ReducerSettings settings;
  private final GroupReducer group;
  private final Peers peers;
  private final EffectLog log = new EffectLog();
  private final TargetRegistry targets;
  private final OwnerRole owner;
  private final TargetSelector selector;
  private final BudgetRole budgets;
  private final EntryRole entry;
  private final Readiness readiness;
  private Sheet sheet = NO_SHEET;
  private Map<String, String> polled = Map.of();
  private long polledVersion;
  private long lastEventMs;

  /**
   * Creates a reducer that knows nothing yet and is not ready.
   *
   * @param settings the constants of its decisions
   * @param group knows the other daemons and guards the sheet
   * @param generationRouting chooses the target of a generation
   * @param serviceRouting chooses the target of a plain call
   * @param admissions creates the accounts of owned targets
   */
  public DecisionReducer(
      ReducerSettings settings,
      GroupReducer group,
      RoutingStrategy generationRouting,
      RoutingStrategy serviceRouting,
      AdmissionFactory admissions) {
    this.settings = Check.notNull(settings, "settings");
    this.group = Check.notNull(group, "group");
    this.peers = new Peers(settings.daemonId(), group);
    this.readiness = new Readiness(settings, group.sheetGuard(), log);
    this.targets = new TargetRegistry(readiness::knowsTargets);
    this.owner = new OwnerRole(settings, targets, admissions, log);
    this.selector =
        new TargetSelector(settings, targets, generationRouting, serviceRouting, owner, log);
    this.budgets = new BudgetRole(settings, log);
    this.entry = new EntryRole(settings, targets, peers, selector, owner, budgets, log);
    owner.setRejectionListener((nowMs, attemptId, out) -> entry.ended(nowMs, attemptId, out));
  }

  @Override
  public List<Effect> apply(Event event) {
    long nowMs = event.nowMs();
    if (lastEventMs > 0 && nowMs - lastEventMs > settings.pauseBoundMs()) {
      readiness.paused(nowMs);
      // The guard of the sheet tells a pause by its ticks; none may have come since.
      group.reduce(new TimeEvent.Ticked(nowMs)).forEach(this::followGroup);
    }
    lastEventMs = Math.max(lastEventMs, nowMs);
    group.reduce(event).forEach(this::followGroup);
    if (event instanceof RequestEvent request) {
      applyRequest(request);
    } else if (event instanceof PlatformEvent platform) {
      applyPlatform(platform);
    } else if (event instanceof PeerEvent peer) {
      applyPeer(peer);
    } else if (event instanceof BudgetEvent budget) {
      applyBudget(budget);
    } else if (event instanceof TimeEvent time) {
      applyTime(time);
    }
    if (peers.version() != polledVersion) {
      pollOwned();
    }
    readiness.announce(nowMs, sheet.version());
    return log.take();
  }

  /**
   * Returns the version of the sheet in use.
   *
   * @return the version; 0 before the first sheet
   */
  public long sheetVersion() {
    return sheet.version();
  }

  /**
   * Returns how many requests this daemon took and has not answered yet.
   *
   * @return a count
   */
  public int requestsInProgress() {
    return entry.requestsInProgress();
  }

  /**
   * Returns how many attempts run or wait on targets through this daemon as their owner.
   *
   * @return a count
   */
  public int attemptsOwned() {
    return owner.attemptsInProgress();
  }

  private void applyRequest(RequestEvent event) {
    if (event instanceof RequestEvent.RequestArrived arrived) {
      arrived(arrived);
    } else if (event instanceof RequestEvent.RequestCancelled cancelled) {
      entry.cancelled(cancelled.nowMs(), cancelled.requestId());
    } else if (event instanceof RequestEvent.CallerDetached detached) {
      entry.detached(detached.nowMs(), detached.requestId());
    } else if (event instanceof RequestEvent.ClaimAnswered answered) {
      entry.claimAnswered(answered);
    } else if (event instanceof RequestEvent.AttemptForwarded forwarded) {
      owner.forwarded(forwarded, readiness.takesForwarded(forwarded.nowMs()));
    } else if (event instanceof RequestEvent.ForwardedAttemptCancelled cancelled) {
      owner.forwardedCancelled(cancelled);
    } else if (event instanceof RequestEvent.AttemptStarted started) {
      entry.started(started);
    } else if (event instanceof RequestEvent.AttemptProgressed progressed) {
      owner.progressed(progressed);
      entry.progressed(progressed);
    } else if (event instanceof RequestEvent.AttemptEnded ended) {
      ended(ended.nowMs(), ended.attemptId(), ended.outcome());
    }
  }

  private void arrived(RequestEvent.RequestArrived event) {
    String obstacle = readiness.obstacle(event.nowMs());
    if (!obstacle.isEmpty()) {
      long retryAfterMs = settings.retryAfterMs();
      entry.refuse(event.spec(), sheet.version(), Reason.NOT_READY, obstacle, retryAfterMs);
      return;
    }
    entry.arrived(event, sheet);
  }

  private void ended(long nowMs, String attemptId, Outcome outcome) {
    boolean resumed = entry.ended(nowMs, attemptId, outcome);
    if (!resumed) {
      owner.ended(nowMs, attemptId, outcome);
    }
  }

  private void applyPlatform(PlatformEvent event) {
    if (event instanceof PlatformEvent.VmsListed listed) {
      listed(listed);
    } else if (event instanceof PlatformEvent.VmListFailed failed) {
      readiness.listFailed(failed.nowMs());
      routeParked(failed.nowMs());
    } else if (event instanceof PlatformEvent.LoadReported reported) {
      reported(reported);
    }
  }

  private void adopt(SheetEffect.SheetAdopted adopted) {
    sheet = adopted.sheet();
    budgets.useSheet(sheet);
    log.add(new Effect.UseSheet(sheet));
    log.control("sheet-adopted", "", sheet.version(), adopted.source());
  }

  private void listed(PlatformEvent.VmsListed event) {
    readiness.listConfirmed(event.askedMs());
    boolean news = targets.isNews(event.vms());
    if (news) {
      useList(event);
    }
    owner.forgetUnlisted();
    log.add(new Effect.UseVms(event.vms()));
    if (news) {
      pollOwned();
    }
    routeParked(event.nowMs());
  }

  private void useList(PlatformEvent.VmsListed event) {
    for (String targetId : targets.replace(event.vms())) {
      log.control("target-leaving", targetId, sheet.version(), "the list shows it leaving or gone");
      owner.withdraw(event.nowMs(), targetId, "target " + targetId + " is leaving");
    }
    selector.retain(targetId -> targets.find(targetId).isPresent());
  }

  private void routeParked(long nowMs) {
    if (readiness.knowsTargets()) {
      entry.targetsKnown(nowMs);
    }
  }

  private void reported(PlatformEvent.LoadReported event) {
    if (targets.report(event.targetId(), event.load())) {
      String targetId = event.targetId();
      log.control("target-leaving", targetId, sheet.version(), "the target says so itself");
      owner.withdraw(event.nowMs(), targetId, "target " + targetId + " is leaving");
      return;
    }
    if (targets.find(event.targetId()).isPresent()) {
      owner.reported(event.nowMs(), event.targetId(), event.load());
      owner
          .findHint(event.nowMs(), event.targetId())
          .ifPresent(hint -> log.add(new Effect.PublishHint(hint)));
    }
  }

  /** Passes on what the group wants done, and acts on its news. */
  private void followGroup(Effect effect) {
    if (effect instanceof SheetEffect.SheetAdopted adopted) {
      adopt(adopted);
      return;
    }
    log.add(effect);
    if (effect instanceof MembershipEffect.MembersChanged changed) {
      changed.changes().forEach(this::followMember);
    }
  }

  private void followMember(MemberUpdate update) {
    String state = update.state().name().toLowerCase(Locale.ROOT);
    log.control("member-" + state, "", sheet.version(), "daemon " + update.daemonId());
    if (update.state() == MemberState.DEAD) {
      entry.daemonLost(lastEventMs, update.daemonId());
    }
  }

  private void pollOwned() {
    polledVersion = peers.version();
    Map<String, String> owned = new LinkedHashMap<>();
    for (VmEntry engine : targets.engines()) {
      if (peers.ownerOf(engine.id(), engine.zone()).equals(settings.daemonId())) {
        owned.put(engine.id(), engine.address());
      }
    }
    if (!owned.equals(polled)) {
      polled = owned;
      log.add(new Effect.PollLoads(Collections.unmodifiableMap(owned)));
    }
  }

  private void applyPeer(PeerEvent event) {
    if (event instanceof PeerEvent.HintReceived received) {
      selector.hintReceived(received.nowMs(), received.hint());
    } else if (event instanceof PeerEvent.DaemonLost lost) {
      entry.daemonLost(lost.nowMs(), lost.daemonId());
    }
  }

  private void applyBudget(BudgetEvent event) {
    if (event instanceof BudgetEvent.DayBegan began) {
      budgets.dayBegan(began);
      entry.funded(began.nowMs(), organisation -> true);
    } else if (event instanceof BudgetEvent.LedgerWritten written) {
      budgets.written(written);
      entry.funded(written.nowMs(), written.organisation()::equals);
    } else if (event instanceof BudgetEvent.LedgerUnknown unknown) {
      budgets.unknown(unknown);
      entry.funded(unknown.nowMs(), unknown.organisation()::equals);
    }
  }

  private void applyTime(TimeEvent event) {
    if (event instanceof TimeEvent.DrainRequested drain) {
      readiness.drain(drain.nowMs(), drain.deadlineMs());
      log.control("drain", "", sheet.version(), "the daemon was told to stop");
      return;
    }
    long nowMs = event.nowMs();
    entry.expire(nowMs);
    budgets.tick(nowMs);
    selector.judgeGaps(nowMs);
    owner.reviewAll(nowMs);
    boolean idle = entry.requestsInProgress() == 0 && owner.attemptsInProgress() == 0;
    if (readiness.isDrained(nowMs, idle)) {
      entry.abandonAll(nowMs);
      log.add(new Effect.Stop());
    }
  }
}
