package org.sequoiareach.daemon.feed;

import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.daemon.control.EventSink;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.store.prefix.ReachabilityListener;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Derives the availability of the store from the outcomes of the calls made to it. The store counts
 * as unreachable while, for at least one kind of call, the most recent call has failed. Each change
 * is logged and posted as an event. Not thread-safe.
 */
final class StoreAvailabilityMonitor {

  private static final Logger LOGGER = LogManager.getLogger(StoreAvailabilityMonitor.class);

  private final EventSink events;
  private final Set<String> failing = new HashSet<>();

  StoreAvailabilityMonitor(EventSink events) {
    this.events = events;
  }

  /** Returns the listener for the outcome of one kind of call. */
  ReachabilityListener createListener(String kind) {
    return (reachable, detail) -> onOutcome(kind, reachable, detail);
  }

  /** Forgets failed calls that are not repeated, because other daemons read the store. */
  void reset() {
    failing.clear();
  }

  private void onOutcome(String kind, boolean reachable, String detail) {
    boolean wasUnreachable = !failing.isEmpty();
    boolean changed = reachable ? failing.remove(kind) : failing.add(kind);
    boolean unreachable = !failing.isEmpty();
    if (!changed || unreachable == wasUnreachable) {
      return;
    }
    LOGGER.info(
        new StringMapMessage()
            .with("decision", unreachable ? "store-lost" : "store-regained")
            .with("reason", "call=" + kind + " " + detail));
    events.post(new DispatchEvent.StoreSeen(MonotonicClock.nowMs(), !unreachable));
  }
}
