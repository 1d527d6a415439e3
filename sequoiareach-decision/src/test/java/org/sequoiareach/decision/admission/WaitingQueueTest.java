package org.sequoiareach.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiareach.model.route.WaitingDemand;

/** Guards the order of waiting calls and the bounds of the queue. */
class WaitingQueueTest {

  private final WaitingQueue queue = new WaitingQueue();

  static WaitingCall call(String id, String tenant, int priority, long arrivedMs) {
    return new WaitingCall(
        id,
        "s",
        tenant,
        priority,
        3_000,
        3_750,
        false,
        4_000,
        arrivedMs,
        arrivedMs + 3_500,
        arrivedMs + 30_000,
        arrivedMs + 39_000,
        false);
  }

  private List<String> order(long nowMs) {
    return queue.inOrder(nowMs).stream().map(WaitingCall::callId).toList();
  }

  @Test
  void largeTenantDoesNotCrowdOutSmallOne() {
    queue.add(call("a1", "a", 1, 0));
    queue.add(call("a2", "a", 1, 1));
    queue.add(call("a3", "a", 1, 2));
    queue.add(call("b1", "b", 1, 3));
    assertThat(order(10)).containsExactly("a1", "b1", "a2", "a3");

    queue.remove("a1");
    queue.recordServed("a");
    assertThat(order(10)).containsExactly("b1", "a2", "a3");
  }

  @Test
  void urgentCallOvertakesEarlierOnesAndLateOnesYieldToThoseStillOnTime() {
    queue.add(call("late", "a", 1, 0));
    queue.add(call("onTime", "a", 1, 3_000));
    queue.add(call("urgent", "a", 0, 3_500));
    assertThat(order(3_600)).containsExactly("urgent", "onTime", "late");
  }

  @Test
  void fullQueueRefusesLeastUrgentCallThatArrivedLast() {
    for (int i = 0; i < WaitingQueue.MAX_CALLS - 1; i++) {
      assertThat(queue.add(call("a" + i, "a", 1, i))).isEmpty();
    }
    assertThat(queue.add(call("draft", "a", 2, 0))).isEmpty();
    assertThat(queue.add(call("check", "a", 0, 900)).map(WaitingCall::callId))
        .isEqualTo(Optional.of("draft"));
    assertThat(queue.size()).isEqualTo(WaitingQueue.MAX_CALLS);
  }

  @Test
  void promptsThatWaitStayWithinMemory() {
    int fitting = (int) (WaitingQueue.MAX_PROMPT_TOKENS / 1_000_000);
    for (int i = 0; i < fitting; i++) {
      assertThat(queue.add(large("p" + i, i))).isEmpty();
    }
    assertThat(queue.add(large("last", 99)).map(WaitingCall::callId)).contains("last");
  }

  private static WaitingCall large(String id, long arrivedMs) {
    return new WaitingCall(
        id, "s", "a", 1, 1_000_000, 1_000_000, false, 4_000, arrivedMs, 3_500, 30_000, 39_000,
        false);
  }

  @Test
  void tellsWhatWaitsByPriority() {
    queue.add(call("a", "a", 2, 0));
    queue.add(call("b", "a", 2, 1));
    queue.add(call("c", "a", 0, 2));
    assertThat(queue.demand().byPriority())
        .containsEntry(2, new WaitingDemand.Total(2, 7_500))
        .containsEntry(0, new WaitingDemand.Total(1, 3_750));
  }

  @Test
  void largeCallWithoutRoomIsPassedOnlyBySmallerOnesAndNotForever() {
    WaitingCall large = call("large", "a", 1, 0);
    LaneBlocks early = new LaneBlocks();
    early.recordBlocked(100, large);
    assertThat(early.isHeld(call("same", "a", 1, 1))).isTrue();
    assertThat(early.isHeld(sized("small", 1_000, false))).isFalse();
    LaneBlocks later = new LaneBlocks();
    later.recordBlocked(2_000, large);
    assertThat(later.isHeld(sized("small", 1_000, false))).isTrue();
    assertThat(later.isHeld(sized("short", 1_000, true))).as("short runs").isFalse();
  }

  private static WaitingCall sized(String id, long tokens, boolean shortRun) {
    return new WaitingCall(
        id, "s", "a", 1, tokens, tokens, shortRun, 4_000, 1, 3_500, 30_000, 39_000, false);
  }
}
