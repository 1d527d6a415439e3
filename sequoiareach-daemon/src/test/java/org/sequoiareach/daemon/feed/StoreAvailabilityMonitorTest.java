package org.sequoiareach.daemon.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.dispatch.DispatchEvent;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.store.prefix.ContactListener;

class StoreAvailabilityMonitorTest {

  private final List<Event> events = new ArrayList<>();
  private final StoreAvailabilityMonitor availability = new StoreAvailabilityMonitor(events::add);
  private final ContactListener watch = availability.createListener("watch");
  private final ContactListener sheet = availability.createListener("sheet");

  @Test
  void isUnreachableWhileAnyKindOfCallFails() {
    watch.onContact(true, "");
    assertThat(events).isEmpty();

    sheet.onContact(false, "no answer by the deadline");
    assertThat(reachable()).containsExactly(false);

    watch.onContact(false, "the connection was reset");
    sheet.onContact(true, "");
    assertThat(reachable()).containsExactly(false);

    watch.onContact(true, "");
    assertThat(reachable()).containsExactly(false, true);
  }

  private List<Boolean> reachable() {
    return events.stream().map(event -> ((DispatchEvent.StoreSeen) event).reachable()).toList();
  }
}
