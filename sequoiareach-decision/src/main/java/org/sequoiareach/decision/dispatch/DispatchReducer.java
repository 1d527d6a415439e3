package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.sequoiareach.decision.admission.AdmissionStrategy;
import org.sequoiareach.decision.admission.LateBindingAdmission;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipReducer;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.quarantine.CrashHistory;
import org.sequoiareach.decision.reducer.Reducer;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.TargetDelta;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Takes all decisions on the routed requests of one daemon.
 *
 * <p>It resolves calls against the routing sheet, places them on targets, retries or refuses them,
 * migrates runs off leaving engines, and synchronizes its state with other daemons. The work is
 * delegated to one handler per concern; all of them share a {@link DispatchContext}.
 *
 * <p>Not thread-safe: all events must be applied on the control thread. Only the methods that
 * return figures for metrics may be called from any thread.
 */
public final class DispatchReducer implements Reducer {

  private final DispatchContext context;
  private final MembershipReducer membership;
  private final MigrationHandler migrations;
  private final CallHandler calls;
  private final TargetHandler targets;
  private final TargetHealthHandler health;
  private final StoreFollowHandler follow;
  private final PeerSyncHandler peerSync;
  private final LifecycleHandler lifecycle;
  private final MaintenanceHandler maintenance;
  private final WarmUpHandler warmUps;
  private final LimitHandler limits;
  private final CrashHandler crashes;
  private final QuarantineHandler quarantines;
  private final SpeedHandler speeds;
  private final HedgeHandler hedges;
  private volatile long sheetRevision;
  private volatile int targetCount;
  private volatile int limitCount;
  private volatile int quarantineCount;
  private volatile int maintenanceZoneCount;
  private volatile int coldTargetCount;
  private volatile boolean watchingStore;
  private volatile long confirmedMs;
  private volatile int waitingCount;
  private volatile long admittedCount;
  private volatile long waitedMs;

  /**
   * Creates a reducer without routing sheet, targets or calls.
   *
   * @param settings the settings of the dispatch
   * @param member the settings of the daemon's membership
   */
  public DispatchReducer(DispatchSettings settings, MembershipSettings member) {
    this(settings, member, LateBindingAdmission::new);
  }

  /**
   * Creates a reducer with another strategy of admission.
   *
   * @param settings the settings of the dispatch
   * @param member the settings of the daemon's membership
   * @param admission creates the strategy, which may draw from a random source
   */
  public DispatchReducer(
      DispatchSettings settings,
      MembershipSettings member,
      Function<DoubleSupplier, AdmissionStrategy> admission) {
    Check.notNull(settings, "settings");
    Check.notNull(member, "member");
    this.membership = new MembershipReducer(member, nowMs -> SheetStatus.UNKNOWN);
    this.context = new DispatchContext(settings, membership);
    ActiveCalls active = new ActiveCalls(context);
    RunDurationRegistry durations = new RunDurationRegistry();
    this.limits = new LimitHandler(context, active);
    this.migrations = new MigrationHandler(context, active, durations, limits);
    this.targets = new TargetHandler(context, active, migrations, limits);
    this.health = new TargetHealthHandler(context);
    CrashHistory history = new CrashHistory();
    this.crashes = new CrashHandler(context, history);
    this.quarantines = new QuarantineHandler(context, active, history, crashes);
    this.hedges = new HedgeHandler(context, active, targets, health, limits, quarantines);
    this.speeds = new SpeedHandler(context, active);
    this.calls =
        new CallHandler(
            context,
            active,
            migrations,
            durations,
            targets,
            health,
            limits,
            quarantines,
            speeds,
            admission.apply(context::randomDouble),
            hedges);
    this.follow = new StoreFollowHandler(context);
    this.peerSync = new PeerSyncHandler(context, follow);
    this.warmUps = new WarmUpHandler(context);
    this.maintenance = new MaintenanceHandler(context, follow);
    this.lifecycle = new LifecycleHandler(context, active, calls);
  }

  @Override
  public List<Effect> apply(Event event) {
    if (event instanceof DispatchEvent dispatch) {
      applyDispatch(dispatch);
      calls.retryWaiting(dispatch.nowMs(), isOfOwnCall(event));
    } else if (event instanceof TimeEvent.Ticked tick) {
      maintenance.tick(tick.nowMs());
      warmUps.tick(tick.nowMs());
      targets.tick(tick.nowMs());
      migrations.startDueCopies(tick.nowMs());
      limits.tick(tick.nowMs());
      crashes.tick(tick.nowMs());
      quarantines.tick(tick.nowMs());
      calls.tick(tick.nowMs());
      speeds.tick(tick.nowMs());
      calls.retryWaiting(tick.nowMs(), true);
      hedges.tick(tick.nowMs());
      peerSync.tick(tick.nowMs());
      follow.tick(tick.nowMs());
      lifecycle.tick(tick.nowMs());
      context.effects().addAll(membership.reduce(tick));
    } else if (event instanceof TimeEvent.DrainRequested drain) {
      lifecycle.onDrainRequested(drain);
      context.effects().addAll(membership.reduce(drain));
    } else if (event instanceof MembershipEvent || event instanceof PlatformEvent.VmsListed) {
      context.effects().addAll(membership.reduce(event));
    }
    waitingCount = calls.admissions().waitingCount();
    admittedCount = calls.admissions().admittedCount();
    waitedMs = calls.admissions().waitedMs();
    sheetRevision = context.sheetRevision();
    targetCount = context.targets().listedCount();
    limitCount = limits.inForceCount();
    maintenanceZoneCount = maintenance.zoneCount();
    coldTargetCount = warmUps.coldCount();
    quarantineCount = quarantines.activeCount();
    watchingStore = follow.isWatching();
    confirmedMs = follow.confirmedMs();
    return context.effects().take();
  }

  /** Returns whether an event may release room that this daemon is the first to know of. */
  private static boolean isOfOwnCall(Event event) {
    return event instanceof DispatchEvent.AnswerDelivered
        || event instanceof DispatchEvent.AnswerStarted
        || event instanceof DispatchEvent.AttemptFailed
        || event instanceof DispatchEvent.CallerLeft;
  }

  private void applyDispatch(DispatchEvent event) {
    if (event instanceof DispatchEvent.CallArrived arrived) {
      calls.onCallArrived(arrived);
    } else if (event instanceof DispatchEvent.AnswerStarted started) {
      calls.onAnswerStarted(started);
    } else if (event instanceof StreamEvent.StreamProgressed progress) {
      speeds.onStreamProgressed(progress);
    } else if (event instanceof HedgeEvent.AttemptWon won) {
      hedges.onAttemptWon(won);
    } else if (event instanceof HedgeEvent.WakeUp wakeUp) {
      hedges.onWakeUp(wakeUp);
    } else if (event instanceof DispatchEvent.RateStated stated) {
      limits.onRateStated(stated);
    } else if (event instanceof DispatchEvent.LimitsTold told) {
      limits.onLimitsTold(told);
    } else if (event instanceof DispatchEvent.ShareLent lent) {
      limits.onShareLent(lent);
    } else if (event instanceof DispatchEvent.PermitAsked asked) {
      limits.onPermitAsked(asked);
    } else if (event instanceof DispatchEvent.PermitSpent spent) {
      limits.onPermitSpent(spent);
    } else if (event instanceof DispatchEvent.PermitAnswered answered) {
      calls.onPermitAnswered(answered);
    } else if (event instanceof DispatchEvent.TargetProbed probed) {
      crashes.onTargetProbed(probed);
      calls.onTargetProbed(probed);
    } else if (event instanceof DispatchEvent.CrashesTold told) {
      crashes.onCrashesTold(told);
    } else if (event instanceof DispatchEvent.QuarantinesTold told) {
      quarantines.onQuarantinesTold(told);
    } else if (event instanceof DispatchEvent.AnswerDelivered delivered) {
      calls.onAnswerDelivered(delivered);
    } else if (event instanceof DispatchEvent.AnswersUnsent unsent) {
      lifecycle.onAnswersUnsent(unsent);
    } else if (event instanceof DispatchEvent.AttemptFailed failed) {
      calls.onAttemptFailed(failed);
    } else if (event instanceof DispatchEvent.CallerLeft left) {
      calls.onCallerLeft(left);
    } else if (event instanceof DispatchEvent.RunCopied copied) {
      migrations.onRunCopied(copied);
    } else if (event instanceof DispatchEvent.SheetLearned learned) {
      peerSync.onSheetLearned(learned);
      follow.onHoldingsChanged();
      calls.releaseHeld(learned.nowMs());
      lifecycle.tick(learned.nowMs());
    } else if (event instanceof AvailabilityEvent.ColdStated stated) {
      warmUps.onColdStated(stated);
    } else if (event instanceof AvailabilityEvent.ReportInvalid invalid) {
      health.onReportInvalid(invalid);
    } else if (event instanceof AvailabilityEvent.MaintenanceLearned learned) {
      maintenance.onLearned(learned.nowMs(), learned.maintenance(), learned.source());
    } else if (event instanceof DispatchEvent.PeerStateTold told) {
      told.fleet()
          .maintenance()
          .ifPresent(zones -> maintenance.onLearned(told.nowMs(), zones, told.daemonId()));
      boolean counted = peerSync.onPeerStateTold(told);
      targets.onPeerStateTold(told);
      if (counted) {
        health.onPeerStateTold(told);
      }
    } else if (event instanceof DispatchEvent.StoreRead read) {
      follow.onStoreRead(read);
    } else if (event instanceof DispatchEvent.StoreNewsTold told) {
      onStoreNewsTold(told);
    } else if (event instanceof DispatchEvent.TargetsUpdated updated) {
      onTargetsUpdated(updated);
    } else if (event instanceof DispatchEvent.ClockSuspended) {
      follow.onClockSuspended();
    } else if (event instanceof DispatchEvent.PeerPulled pulled) {
      peerSync.onPeerPulled(pulled);
    } else if (event instanceof DispatchEvent.SettingsChanged changed) {
      context.applySettings(changed.settings());
    } else {
      crashes.onTargetsChanged(event);
      warmUps.onTargetsChanged(event);
      targets.apply(event);
      follow.onHoldingsChanged();
      calls.releaseHeld(event.nowMs());
      lifecycle.tick(event.nowMs());
    }
  }

  private void onStoreNewsTold(DispatchEvent.StoreNewsTold told) {
    // A reading confirms only a daemon that holds the zones that were read.
    told.news()
        .maintenance()
        .ifPresent(zones -> maintenance.onLearned(told.nowMs(), zones, told.daemonId()));
    peerSync.onStoreNewsTold(told);
    // The recovery of the store decides what a removal means.
    follow.onStoreNewsTold(told);
    told.news()
        .delta()
        .ifPresent(
            delta ->
                onTargetsUpdated(
                    new DispatchEvent.TargetsUpdated(
                        told.nowMs(),
                        OptionalLong.of(delta.afterRevision()),
                        delta.updates(),
                        told.daemonId())));
  }

  private void onTargetsUpdated(DispatchEvent.TargetsUpdated updated) {
    Optional<TargetDelta> unknown = follow.findUnknown(updated);
    if (unknown.isEmpty()) {
      return;
    }
    long nowMs = updated.nowMs();
    unknown
        .get()
        .updates()
        .forEach(
            update -> {
              DispatchEvent change = TargetHandler.toEvent(nowMs, update);
              crashes.onTargetsChanged(change);
              warmUps.onTargetsChanged(change);
            });
    targets.apply(nowMs, unknown.get());
    follow.onHoldingsChanged();
    follow.tell(nowMs, unknown);
    calls.releaseHeld(nowMs);
    lifecycle.tick(nowMs);
  }

  /**
   * Returns the revision of the current routing sheet.
   *
   * @return the revision; 0 before the first sheet
   */
  public long sheetRevision() {
    return sheetRevision;
  }

  /**
   * Returns the number of listed targets.
   *
   * @return the number of targets
   */
  public int targetCount() {
    return targetCount;
  }

  /**
   * Returns the number of targets that state a rate limit.
   *
   * @return the number of limits in force
   */
  public int limitCount() {
    return limitCount;
  }

  /**
   * Returns the number of quarantines that were not lifted.
   *
   * @return the number of quarantines
   */
  public int quarantineCount() {
    return quarantineCount;
  }

  /**
   * Returns the number of zones in maintenance.
   *
   * @return the number of zones
   */
  public int maintenanceZoneCount() {
    return maintenanceZoneCount;
  }

  /**
   * Returns the number of calls that wait at this daemon for room at an engine.
   *
   * @return the number of calls
   */
  public int waitingCount() {
    return waitingCount;
  }

  /**
   * Returns the number of calls that were sent after they had waited.
   *
   * @return the number since the start
   */
  public long admittedCount() {
    return admittedCount;
  }

  /**
   * Returns the time that these calls waited in total.
   *
   * @return the time since the start, in milliseconds
   */
  public long waitedMs() {
    return waitedMs;
  }

  /**
   * Returns the number of cold targets.
   *
   * @return the number of targets
   */
  public int coldTargetCount() {
    return coldTargetCount;
  }

  /**
   * Returns whether this daemon watches the store, rather than relying on others.
   *
   * @return true if it watches the store
   */
  public boolean isWatchingStore() {
    return watchingStore;
  }

  /**
   * Returns the time since the store was known to hold nothing newer than this daemon.
   *
   * @param nowMs the current time
   * @return the time in milliseconds
   */
  public long holdingsAgeMs(long nowMs) {
    return nowMs - confirmedMs;
  }

  /** Collects the effects of one event. */
  static final class EffectList {

    private List<Effect> effects = new ArrayList<>();

    void add(Effect effect) {
      effects.add(effect);
    }

    void addAll(List<? extends Effect> more) {
      effects.addAll(more);
    }

    List<Effect> take() {
      List<Effect> taken = effects;
      effects = new ArrayList<>();
      return taken;
    }
  }
}
