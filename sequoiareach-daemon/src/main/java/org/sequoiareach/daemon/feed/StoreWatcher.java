package org.sequoiareach.daemon.feed;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.daemon.control.EffectHandler;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.daemon.exchange.SuspensionDetector;
import org.sequoiareach.decision.dispatch.AvailabilityEvent;
import org.sequoiareach.decision.dispatch.DispatchEffect;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.TargetUpdate;
import org.sequoiareach.model.route.ZoneMaintenance;
import org.sequoiareach.store.prefix.PrefixEntry;
import org.sequoiareach.store.prefix.PrefixListener;
import org.sequoiareach.store.prefix.PrefixSnapshot;
import org.sequoiareach.store.prefix.PrefixStore;
import org.sequoiareach.store.prefix.PrefixWatcher;
import org.sequoiareach.store.prefix.ReachabilityListener;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Reads the routing sheet and the targets in the store, once or by watching them as the reducer
 * decides, and posts their current values and changes as events.
 */
public final class StoreWatcher implements EffectHandler {

  /** How often the clocks are compared, in milliseconds. */
  private static final long SUSPENSION_CHECK_MS = 100;

  private final StoreLayout layout;
  private final EventSink events;
  private final PrefixWatcher sheetWatcher;
  private final PrefixWatcher targetWatcher;
  private final StoreAvailabilityMonitor availability;
  private final ScheduledExecutorService timer;
  private final SuspensionDetector suspensions = new SuspensionDetector();
  private long suspendedMs;

  /**
   * Creates a watcher that is not started.
   *
   * @param store the store
   * @param layout the keys and value formats in the store
   * @param events receives the events
   * @param timer runs the watcher; must use a single thread
   */
  public StoreWatcher(
      PrefixStore store, StoreLayout layout, EventSink events, ScheduledExecutorService timer) {
    this.layout = new FaultContainingLayout(Check.notNull(layout, "layout"));
    this.events = Check.notNull(events, "events");
    this.timer = Check.notNull(timer, "timer");
    this.availability = new StoreAvailabilityMonitor(events);
    this.sheetWatcher = new PrefixWatcher(store, layout.sheetPrefix(), timer, new SheetListener());
    this.targetWatcher =
        new PrefixWatcher(store, layout.targetPrefix(), timer, new TargetListener());
  }

  /** Reads the sheet and the targets for the first time. */
  public void start() {
    sheetWatcher.readOnce();
    targetWatcher.readOnce();
    timer.scheduleWithFixedDelay(
        this::reportSuspension, SUSPENSION_CHECK_MS, SUSPENSION_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void handle(Effect effect) {
    if (effect instanceof DispatchEffect.AccessStore access) {
      switch (access.access().mode()) {
        case WATCH -> {
          sheetWatcher.watch(access.access().pollMs(), access.access().patienceMs());
          targetWatcher.watch(access.access().pollMs(), access.access().patienceMs());
        }
        case READ_ONCE -> {
          sheetWatcher.readOnce();
          targetWatcher.readOnce();
        }
        case FOLLOW -> {
          sheetWatcher.stop();
          targetWatcher.stop();
          timer.execute(availability::reset);
        }
        default -> throw new IllegalArgumentException("Unknown access: " + access);
      }
    }
  }

  private void reportSuspension() {
    long totalMs = suspensions.totalSuspendedMs();
    if (totalMs > suspendedMs) {
      suspendedMs = totalMs;
      events.post(new DispatchEvent.ClockSuspended(MonotonicClock.nowMs()));
    }
  }

  private final class SheetListener extends AbstractPrefixListener {

    private final Set<String> maintenanceZones = new HashSet<>();

    private SheetListener() {
      super("sheet", true);
    }

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      maintenanceZones.clear();
      snapshot.entries().forEach(this::updateZones);
      // Before the sheet, by which the daemon may begin to route.
      postMaintenance(snapshot.revision());
      postSheets(snapshot.entries());
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
      boolean ofZones = false;
      for (PrefixEntry entry : changes) {
        ofZones |= updateZones(entry);
      }
      if (ofZones) {
        postMaintenance(changes.stream().mapToLong(PrefixEntry::revision).max().orElseThrow());
      }
      postSheets(changes);
    }

    private boolean updateZones(PrefixEntry entry) {
      Optional<String> zone = layout.findMaintenanceZone(entry);
      if (entry.value().isPresent()) {
        zone.ifPresent(maintenanceZones::add);
      } else {
        zone.ifPresent(maintenanceZones::remove);
      }
      return zone.isPresent();
    }

    private void postMaintenance(long position) {
      events.post(
          new AvailabilityEvent.MaintenanceLearned(
              MonotonicClock.nowMs(), new ZoneMaintenance(position, maintenanceZones), "store"));
    }

    private void postSheets(List<PrefixEntry> changes) {
      for (PrefixEntry entry : changes) {
        layout
            .readSheet(entry)
            .ifPresent(
                sheet ->
                    events.post(
                        new DispatchEvent.SheetLearned(MonotonicClock.nowMs(), sheet, "store")));
      }
    }
  }

  private final class TargetListener extends AbstractPrefixListener {

    private TargetListener() {
      super("targets", false);
    }

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      List<RoutedTarget> listed =
          snapshot.entries().stream().map(layout::readTarget).flatMap(Optional::stream).toList();
      events.post(
          new DispatchEvent.TargetsListed(
              MonotonicClock.nowMs(), snapshot.revision(), listed, "store"));
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
      List<TargetUpdate> updates = changes.stream().map(this::toUpdate).toList();
      events.post(
          new DispatchEvent.TargetsUpdated(
              MonotonicClock.nowMs(), OptionalLong.empty(), updates, "store"));
    }

    private TargetUpdate toUpdate(PrefixEntry entry) {
      Optional<RoutedTarget> target =
          entry.value().isEmpty() ? Optional.empty() : layout.readTarget(entry);
      return new TargetUpdate(entry.revision(), layout.targetIdOf(entry.key()), target);
    }
  }

  /** Reports the outcome of the calls for one prefix, and when they confirmed what is known. */
  private abstract class AbstractPrefixListener implements PrefixListener {

    private final ReachabilityListener reachabilityListener;
    private final boolean ofSheet;

    private AbstractPrefixListener(String kind, boolean ofSheet) {
      this.ofSheet = ofSheet;
      this.reachabilityListener = availability.createListener(kind);
    }

    @Override
    public final void onCurrent(long asOfMs) {
      events.post(new DispatchEvent.StoreRead(MonotonicClock.nowMs(), ofSheet, asOfMs));
    }

    @Override
    public final void onCallCompleted(boolean reachable, String detail) {
      reachabilityListener.onCallCompleted(reachable, detail);
    }
  }
}
