package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.sequoiareach.daemon.dialect.EngineControl.CopyResult;
import org.sequoiareach.daemon.upstream.ResponseFraming;
import org.sequoiareach.decision.dispatch.CopyOutcome;

/**
 * Guards against truncated streams that look complete: of several orders to stop a run, any may be
 * the one that the engine carried out.
 */
class StopOrderHistoryPropertyTest {

  /** What becomes of an order, and what this daemon learns of it. */
  enum Fate {
    CONFIRMED(true, CopyOutcome.COPIED, "h"),
    REFUSED_BY_DESTINATION(true, CopyOutcome.NO_ROOM, "h"),
    RESPONSE_LOST(true, CopyOutcome.UNKNOWN, ""),
    ORDER_LOST(false, CopyOutcome.UNKNOWN, ""),
    OVERLOADED(false, CopyOutcome.NO_ROOM, ""),
    BUSY(false, CopyOutcome.BUSY, ""),
    NO_RUN(false, CopyOutcome.NO_RUN, "");

    private final boolean carriedOut;
    private final CopyResult result;

    Fate(boolean carriedOut, CopyOutcome outcome, String handle) {
      this.carriedOut = carriedOut;
      this.result = new CopyResult(outcome, handle);
    }

    boolean isRefused() {
      return this == BUSY || this == NO_RUN;
    }
  }

  /**
   * Plays orders one after the other; the stream ends with its connection between any two of their
   * messages, as its bytes may arrive late.
   *
   * @param ordersBeforeEnd the number of orders that were sent as the end was seen
   * @param answered whether the result of the last of them was known
   */
  @Property
  void completesStreamOnlyIfNoOrderCanHaveBeenCarriedOut(
      @ForAll("orders") List<Fate> orders,
      @ForAll @IntRange(min = 1, max = 6) int ordersBeforeEnd,
      @ForAll boolean answered) {
    StopOrderHistory history = new StopOrderHistory();
    List<Fate> sent = orders.subList(0, Math.min(ordersBeforeEnd, orders.size()));
    for (Fate order : sent.subList(0, sent.size() - 1)) {
      history.recordOrder();
      history.recordResult(order.result);
    }
    Fate last = sent.get(sent.size() - 1);
    history.recordOrder();
    StreamEnd end = answered ? StreamEnd.UNDECIDED : assess(history);
    if (end == StreamEnd.UNDECIDED) {
      history.recordResult(last.result);
      end = assess(history);
    }

    boolean stopped = sent.stream().anyMatch(order -> order.carriedOut);
    boolean refused = sent.stream().allMatch(Fate::isRefused);
    assertThat(end).isNotEqualTo(StreamEnd.UNDECIDED);
    assertThat(end == StreamEnd.COMPLETE && stopped).isFalse();
    assertThat(end == StreamEnd.COMPLETE).isEqualTo(refused);
  }

  private static StreamEnd assess(StopOrderHistory history) {
    return StreamEnd.of(ResponseFraming.CONNECTION, false, true, history.state());
  }

  @Provide
  Arbitrary<List<Fate>> orders() {
    return Arbitraries.of(Fate.class).list().ofMinSize(1).ofMaxSize(6);
  }
}
