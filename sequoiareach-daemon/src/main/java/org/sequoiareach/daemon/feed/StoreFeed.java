package org.sequoiareach.daemon.feed;

import java.util.List;
import java.util.Optional;
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
import org.sequoiareach.store.time.MonotonicClock;

/** Turns what the store holds into events. */
public final class StoreFeed {

  /** Sheets change seldom; a call that waits long costs little and probes notice a silent line. */
  private static final long SHEET_WAIT_MS = 8_000;

  private static final long TARGETS_WAIT_MS = 8_000;

  private final StoreLayout layout;
  private final EventSink events;
  private final PrefixWatcher sheets;
  private final PrefixWatcher targets;
  private final StoreContact contact;

  /**
   * Creates a feed that is not started.
   *
   * @param store the store
   * @param layout says where it keeps what
   * @param events takes the events
   * @param timer runs the feed; one thread
   */
  public StoreFeed(
      PrefixStore store, StoreLayout layout, EventSink events, ScheduledExecutorService timer) {
    this.layout = Check.notNull(layout, "layout");
    this.events = Check.notNull(events, "events");
    this.contact = new StoreContact(events);
    this.sheets =
        new PrefixWatcher(store, layout.sheetPrefix(), SHEET_WAIT_MS, timer, new SheetListener());
    this.targets =
        new PrefixWatcher(
            store, layout.targetPrefix(), TARGETS_WAIT_MS, timer, new TargetListener());
  }

  /** Starts to read. */
  public void start() {
    sheets.start();
    targets.start();
  }

  private final class SheetListener extends AbstractListener {

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

  private final class TargetListener extends AbstractListener {

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

  /** Passes on whether the calls of one kind are answered. */
  private abstract class AbstractListener implements PrefixListener {

    private final ReachabilityListener source;

    private AbstractListener(String kind) {
      this.source = contact.source(kind);
    }

    @Override
    public final void onCallCompleted(boolean reachable, String detail) {
      source.onCallCompleted(reachable, detail);
    }
  }
}
