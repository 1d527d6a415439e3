package org.sequoiareach.daemon.feed;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.store.prefix.ContactListener;
import org.sequoiareach.store.prefix.PrefixEntry;
import org.sequoiareach.store.prefix.PrefixFollower;
import org.sequoiareach.store.prefix.PrefixListener;
import org.sequoiareach.store.prefix.PrefixSnapshot;
import org.sequoiareach.store.prefix.PrefixStore;
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
  private final PrefixFollower sheetFollower;
  private final PrefixFollower targetFollower;
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
    this.layout = Check.notNull(layout, "layout");
    this.events = Check.notNull(events, "events");
    this.availability = new StoreAvailabilityMonitor(events);
    this.sheetFollower =
        new PrefixFollower(
            store, layout.sheetPrefix(), SHEET_LONG_POLL_MS, timer, new SheetListener());
    this.targetFollower =
        new PrefixFollower(
            store, layout.targetPrefix(), TARGETS_LONG_POLL_MS, timer, new TargetListener());
  }

  /** Starts reading and watching. */
  public void start() {
    sheetFollower.start();
    targetFollower.start();
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

    private TargetListener() {
      super("targets");
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
      changes.forEach(this::onChange);
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

    private final ContactListener contactListener;

    private AbstractPrefixListener(String kind) {
      this.contactListener = availability.createListener(kind);
    }

    @Override
    public final void onContact(boolean reachable, String detail) {
      contactListener.onContact(reachable, detail);
    }
  }
}
