package org.sequoiareach.daemon.feed;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.prefix.PrefixEntry;
import org.sequoiareach.store.prefix.PrefixListener;
import org.sequoiareach.store.prefix.PrefixSnapshot;
import org.sequoiareach.store.prefix.PrefixStore;
import org.sequoiareach.store.prefix.PrefixWatcher;
import org.sequoiareach.store.prefix.ReachabilityListener;
import org.sequoiareach.store.prefix.StorePosition;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Watches the routing sheet and the targets in the store and posts their current values and changes
 * as events.
 */
public final class StoreWatcher {

  /** Sheets rarely change, a long poll is cheap, and keep-alive probes detect a dead connection. */
  private static final long SHEET_LONG_POLL_MS = 8_000;

  private static final long TARGETS_LONG_POLL_MS = 8_000;

  private final StoreLayout layout;
  private final EventSink events;
  private final PrefixWatcher sheetWatcher;
  private final PrefixWatcher targetWatcher;
  private final StoreAvailabilityMonitor availability;

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
    this.availability = new StoreAvailabilityMonitor(events);
    this.sheetWatcher =
        new PrefixWatcher(
            store, layout.sheetPrefix(), SHEET_LONG_POLL_MS, timer, new SheetListener());
    this.targetWatcher =
        new PrefixWatcher(
            store, layout.targetPrefix(), TARGETS_LONG_POLL_MS, timer, new TargetListener());
  }

  /** Starts reading and watching. */
  public void start() {
    sheetWatcher.start();
    targetWatcher.start();
  }

  private final class SheetListener extends AbstractPrefixListener {

    private SheetListener() {
      super("sheet");
    }

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      onChanges(snapshot.entries());
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
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

    private OptionalLong lastPosition = OptionalLong.empty();

    private TargetListener() {
      super("targets");
    }

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      reportRestore(snapshot.revision());
      List<RoutedTarget> listed =
          snapshot.entries().stream().map(layout::readTarget).flatMap(Optional::stream).toList();
      events.post(
          new DispatchEvent.TargetsListed(
              MonotonicClock.nowMs(), snapshot.revision(), listed, "store"));
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
      changes.forEach(this::onChange);
    }

    /** Posts that the store was restored, if a position is of a later era than the last one. */
    private void reportRestore(long position) {
      if (lastPosition.isPresent()
          && StorePosition.eraOf(position) > StorePosition.eraOf(lastPosition.getAsLong())) {
        events.post(
            new DispatchEvent.StoreRestored(
                MonotonicClock.nowMs(),
                StorePosition.format(lastPosition.getAsLong()),
                StorePosition.format(position)));
      }
      lastPosition = OptionalLong.of(position);
    }

    private void onChange(PrefixEntry entry) {
      long nowMs = MonotonicClock.nowMs();
      Optional<RoutedTarget> target =
          entry.value().isEmpty() ? Optional.empty() : layout.readTarget(entry);
      if (target.isPresent()) {
        events.post(new DispatchEvent.TargetChanged(nowMs, entry.revision(), target.get()));
        return;
      }
      String targetId = layout.targetIdOf(entry.key());
      events.post(new DispatchEvent.TargetRemoved(nowMs, entry.revision(), targetId));
    }
  }

  /** Reports the outcome of the calls for one prefix to the availability monitor. */
  private abstract class AbstractPrefixListener implements PrefixListener {

    private final ReachabilityListener reachabilityListener;

    private AbstractPrefixListener(String kind) {
      this.reachabilityListener = availability.createListener(kind);
    }

    @Override
    public final void onCallCompleted(boolean reachable, String detail) {
      reachabilityListener.onCallCompleted(reachable, detail);
    }
  }
}
