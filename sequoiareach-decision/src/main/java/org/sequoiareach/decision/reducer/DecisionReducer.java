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
 * Reducer of a daemon.
 *
 * <p>Dispatches each event to the components it concerns: the {@link RequestCoordinator} for
 * requests that callers sent to this daemon, the {@link AdmissionController} for attempts on
 * targets that this daemon owns, the {@link BudgetManager} for daily plans, the {@link
 * ReadinessTracker}, and the {@link GroupReducer} for membership and sheet distribution.
 */
public final class DecisionReducer implements Reducer {

  private static final Sheet NO_SHEET = new Sheet(0, List.of(), List.of(), List.of());

  private final ReducerSettings settings;
  private final GroupReducer group;
  private final PeerMembership peers;
  private final EffectCollector effects = new EffectCollector();
  private final TargetRegistry targets;
  private final AdmissionController admissionController;
  private final TargetSelector selector;
  private final BudgetManager budgetManager;
  private final RequestCoordinator requestCoordinator;
  private final ReadinessTracker readiness;
  private Sheet sheet = NO_SHEET;
  private Map<String, String> polledAddresses = Map.of();
  private long polledOwnershipVersion;
  private long lastEventMs;

  /**
   * Creates a reducer without a sheet or targets; the daemon is not ready.
   *
   * @param settings the settings
   * @param group the reducer of membership and sheet events
   * @param generationRouting the strategy that selects engines for generations
   * @param serviceRouting the strategy that selects targets for service calls
   * @param admissions creates the admission strategy of each owned target
   */
  public DecisionReducer(
      ReducerSettings settings,
      GroupReducer group,
      RoutingStrategy generationRouting,
      RoutingStrategy serviceRouting,
      AdmissionFactory admissions) {
    this.settings = Check.notNull(settings, "settings");
    this.group = Check.notNull(group, "group");
    this.peers = new PeerMembership(settings.daemonId(), group);
    this.readiness = new ReadinessTracker(settings, group.sheetGuard(), effects);
    this.targets = new TargetRegistry(readiness::hasFreshTargets);
    this.admissionController = new AdmissionController(settings, targets, admissions, effects);
    this.selector =
        new TargetSelector(
            settings, targets, generationRouting, serviceRouting, admissionController, effects);
    this.budgetManager = new BudgetManager(settings, effects);
    this.requestCoordinator =
        new RequestCoordinator(
            settings, targets, peers, selector, admissionController, budgetManager, effects);
    admissionController.setRejectionListener(
        (nowMs, attemptId, out) -> requestCoordinator.handleAttemptEnded(nowMs, attemptId, out));
  }

  @Override
  public List<Effect> apply(Event event) {
    long nowMs = event.nowMs();
    if (lastEventMs > 0 && nowMs - lastEventMs > settings.pauseBoundMs()) {
      readiness.handlePause(nowMs);
      // The sheet guard detects a pause from its ticks, and none may have arrived since.
      group.reduce(new TimeEvent.Ticked(nowMs)).forEach(this::handleGroupEffect);
    }
    lastEventMs = Math.max(lastEventMs, nowMs);
    group.reduce(event).forEach(this::handleGroupEffect);
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
    if (peers.version() != polledOwnershipVersion) {
      updatePolledEngines();
    }
    readiness.publishChange(nowMs, sheet.version());
    return effects.drain();
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
   * Returns the number of requests from callers that have no final answer yet.
   *
   * @return the number of requests
   */
  public int requestsInProgress() {
    return requestCoordinator.requestsInProgress();
  }

  /**
   * Returns the number of attempts that run or are queued on targets owned by this daemon.
   *
   * @return the number of attempts
   */
  public int attemptsOwned() {
    return admissionController.attemptsInProgress();
  }

  private void applyRequest(RequestEvent event) {
    if (event instanceof RequestEvent.RequestArrived arrived) {
      handleArrival(arrived);
    } else if (event instanceof RequestEvent.RequestCancelled cancelled) {
      requestCoordinator.handleCancellation(cancelled.nowMs(), cancelled.requestId());
    } else if (event instanceof RequestEvent.CallerDetached detached) {
      requestCoordinator.handleCallerDetached(detached.nowMs(), detached.requestId());
    } else if (event instanceof RequestEvent.ClaimAnswered answered) {
      requestCoordinator.handleClaimAnswer(answered);
    } else if (event instanceof RequestEvent.AttemptForwarded forwarded) {
      admissionController.handleForwarded(forwarded, readiness.acceptsForwarded(forwarded.nowMs()));
    } else if (event instanceof RequestEvent.ForwardedAttemptCancelled cancelled) {
      admissionController.handleForwardedCancellation(cancelled);
    } else if (event instanceof RequestEvent.AttemptStarted started) {
      requestCoordinator.handleAttemptStarted(started);
    } else if (event instanceof RequestEvent.AttemptProgressed progressed) {
      admissionController.handleProgress(progressed);
      requestCoordinator.handleAttemptProgress(progressed);
    } else if (event instanceof RequestEvent.AttemptEnded ended) {
      handleAttemptEnded(ended.nowMs(), ended.attemptId(), ended.outcome());
    }
  }

  private void handleArrival(RequestEvent.RequestArrived event) {
    String notReadyReason = readiness.findNotReadyReason(event.nowMs());
    if (!notReadyReason.isEmpty()) {
      long retryAfterMs = settings.retryAfterMs();
      requestCoordinator.refuse(
          event.spec(), sheet.version(), Reason.NOT_READY, notReadyReason, retryAfterMs);
      return;
    }
    requestCoordinator.handleArrival(event, sheet);
  }

  private void handleAttemptEnded(long nowMs, String attemptId, Outcome outcome) {
    boolean resumed = requestCoordinator.handleAttemptEnded(nowMs, attemptId, outcome);
    if (!resumed) {
      admissionController.handleEnded(nowMs, attemptId, outcome);
    }
  }

  private void applyPlatform(PlatformEvent event) {
    if (event instanceof PlatformEvent.VmsListed listed) {
      handleVmList(listed);
    } else if (event instanceof PlatformEvent.VmListFailed failed) {
      readiness.listFailed(failed.nowMs());
      routeWaitingRequests(failed.nowMs());
    } else if (event instanceof PlatformEvent.LoadReported reported) {
      handleLoadReport(reported);
    }
  }

  private void adoptSheet(SheetEffect.SheetAdopted adopted) {
    sheet = adopted.sheet();
    budgetManager.useSheet(sheet);
    effects.add(new Effect.UseSheet(sheet));
    effects.logControl("sheet-adopted", "", sheet.version(), adopted.source());
  }

  private void handleVmList(PlatformEvent.VmsListed event) {
    readiness.listConfirmed(event.askedMs());
    boolean changed = targets.isChanged(event.vms());
    if (changed) {
      applyVmList(event);
    }
    admissionController.removeUnlisted();
    effects.add(new Effect.UseVms(event.vms()));
    if (changed) {
      updatePolledEngines();
    }
    routeWaitingRequests(event.nowMs());
  }

  private void applyVmList(PlatformEvent.VmsListed event) {
    for (String targetId : targets.replace(event.vms())) {
      effects.logControl(
          "target-leaving",
          targetId,
          sheet.version(),
          "the VM list marks the target as leaving or no longer contains it");
      admissionController.rejectQueued(
          event.nowMs(), targetId, "target " + targetId + " is leaving");
    }
    selector.retain(targetId -> targets.find(targetId).isPresent());
  }

  private void routeWaitingRequests(long nowMs) {
    if (readiness.hasFreshTargets()) {
      requestCoordinator.routeWaiting(nowMs);
    }
  }

  private void handleLoadReport(PlatformEvent.LoadReported event) {
    if (targets.recordLoad(event.targetId(), event.load())) {
      String targetId = event.targetId();
      effects.logControl(
          "target-leaving", targetId, sheet.version(), "the target reports that it is leaving");
      admissionController.rejectQueued(
          event.nowMs(), targetId, "target " + targetId + " is leaving");
      return;
    }
    if (targets.find(event.targetId()).isPresent()) {
      admissionController.handleLoadReport(event.nowMs(), event.targetId(), event.load());
      admissionController
          .findHint(event.nowMs(), event.targetId())
          .ifPresent(hint -> effects.add(new Effect.PublishHint(hint)));
    }
  }

  /** Forwards an effect of the group reducer and applies sheet and membership changes. */
  private void handleGroupEffect(Effect effect) {
    if (effect instanceof SheetEffect.SheetAdopted adopted) {
      adoptSheet(adopted);
      return;
    }
    effects.add(effect);
    if (effect instanceof MembershipEffect.MembersChanged changed) {
      changed.changes().forEach(this::handleMemberUpdate);
    }
  }

  private void handleMemberUpdate(MemberUpdate update) {
    String state = update.state().name().toLowerCase(Locale.ROOT);
    effects.logControl("member-" + state, "", sheet.version(), "daemon " + update.daemonId());
    if (update.state() == MemberState.DEAD) {
      requestCoordinator.handleDaemonLost(lastEventMs, update.daemonId());
    }
  }

  private void updatePolledEngines() {
    polledOwnershipVersion = peers.version();
    Map<String, String> owned = new LinkedHashMap<>();
    for (VmEntry engine : targets.engines()) {
      if (peers.ownerOf(engine.id(), engine.zone()).equals(settings.daemonId())) {
        owned.put(engine.id(), engine.address());
      }
    }
    if (!owned.equals(polledAddresses)) {
      polledAddresses = owned;
      effects.add(new Effect.PollLoads(Collections.unmodifiableMap(owned)));
    }
  }

  private void applyPeer(PeerEvent event) {
    if (event instanceof PeerEvent.HintReceived received) {
      selector.recordHint(received.nowMs(), received.hint());
    } else if (event instanceof PeerEvent.DaemonLost lost) {
      requestCoordinator.handleDaemonLost(lost.nowMs(), lost.daemonId());
    }
  }

  private void applyBudget(BudgetEvent event) {
    if (event instanceof BudgetEvent.DayBegan began) {
      budgetManager.startDay(began);
      requestCoordinator.retryReservations(began.nowMs(), organisation -> true);
    } else if (event instanceof BudgetEvent.LedgerWritten written) {
      budgetManager.handleLedgerWritten(written);
      requestCoordinator.retryReservations(written.nowMs(), written.organisation()::equals);
    } else if (event instanceof BudgetEvent.LedgerUnknown unknown) {
      budgetManager.handleLedgerUnknown(unknown);
      requestCoordinator.retryReservations(unknown.nowMs(), unknown.organisation()::equals);
    }
  }

  private void applyTime(TimeEvent event) {
    if (event instanceof TimeEvent.DrainRequested drain) {
      readiness.startDrain(drain.nowMs(), drain.deadlineMs());
      effects.logControl("drain", "", sheet.version(), "the daemon received a stop request");
      return;
    }
    long nowMs = event.nowMs();
    requestCoordinator.failExpired(nowMs);
    budgetManager.writeDueEntries(nowMs);
    selector.ejectSlowEngines(nowMs);
    admissionController.admitAllQueued(nowMs);
    boolean idle =
        requestCoordinator.requestsInProgress() == 0
            && admissionController.attemptsInProgress() == 0;
    if (readiness.isDrained(nowMs, idle)) {
      requestCoordinator.failAll(nowMs);
      effects.add(new Effect.Stop());
    }
  }
}
