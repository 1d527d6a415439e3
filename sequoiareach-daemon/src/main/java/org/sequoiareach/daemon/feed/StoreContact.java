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
 * Tells when the store is lost and regained, from all calls that are made to it: it is away as long
 * as the last call of any kind has failed. Used by one thread at a time.
 */
final class StoreContact {

  private static final Logger LOGGER = LogManager.getLogger(StoreContact.class);

  private final EventSink events;
  private final Set<String> failing = new HashSet<>();

  StoreContact(EventSink events) {
    this.events = events;
  }

  /** Returns the listener of one kind of call. */
  ReachabilityListener source(String kind) {
    return (reachable, detail) -> onContact(kind, reachable, detail);
  }

  private void onContact(String kind, boolean reachable, String detail) {
    boolean wasAway = !failing.isEmpty();
    boolean changed = reachable ? failing.remove(kind) : failing.add(kind);
    boolean away = !failing.isEmpty();
    if (!changed || away == wasAway) {
      return;
    }
    LOGGER.info(
        new StringMapMessage()
            .with("decision", away ? "store-lost" : "store-regained")
            .with("reason", "call=" + kind + " " + detail));
    events.post(new DispatchEvent.StoreSeen(MonotonicClock.nowMs(), !away));
  }
}
