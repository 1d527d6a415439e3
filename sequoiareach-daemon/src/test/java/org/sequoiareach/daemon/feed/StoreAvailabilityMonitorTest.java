package org.sequoiareach.daemon.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.store.prefix.ReachabilityListener;

class StoreAvailabilityMonitorTest {

  private final List<Event> events = new ArrayList<>();
  private final StoreAvailabilityMonitor availability = new StoreAvailabilityMonitor(events::add);
  private final ReachabilityListener watch = availability.createListener("watch");
  private final ReachabilityListener sheet = availability.createListener("sheet");

  @Test
  void isUnreachableWhileAnyKindOfCallFails() {
    watch.onCallCompleted(true, "");
    assertThat(events).isEmpty();

    sheet.onCallCompleted(false, "no answer by the deadline");
    assertThat(reachable()).containsExactly(false);

    watch.onCallCompleted(false, "the connection was reset");
    sheet.onCallCompleted(true, "");
    assertThat(reachable()).containsExactly(false);

    watch.onCallCompleted(true, "");
    assertThat(reachable()).containsExactly(false, true);
  }

  private List<Boolean> reachable() {
    return events.stream().map(event -> ((DispatchEvent.StoreSeen) event).reachable()).toList();
  }
}
