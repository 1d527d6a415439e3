package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.dialect.EngineControl.CopyResult;
import org.sequoiareach.daemon.upstream.ResponseFraming;
import org.sequoiareach.decision.dispatch.CopyOutcome;

/** Tests when the end of an event stream counts as that of its run. */
class StreamEndTest {

  @ParameterizedTest
  @CsvSource({
    "CHUNKS, false, true, NONE, COMPLETE",
    "CHUNKS, false, false, NONE, COMPLETE",
    "LENGTH, false, true, MAY_BE_CARRIED_OUT, COMPLETE",
    "LENGTH, false, false, SENT, COMPLETE",
    "CONNECTION, false, true, NONE, COMPLETE",
    "CONNECTION, false, false, NONE, WITHOUT_EVENT",
    "CONNECTION, false, true, SENT, UNDECIDED",
    "CONNECTION, false, true, MAY_BE_CARRIED_OUT, STOPPED",
    "CONNECTION, false, true, CARRIED_OUT, STOPPED",
    "CHUNKS, false, true, CARRIED_OUT, STOPPED",
    "LENGTH, false, true, CARRIED_OUT, STOPPED",
    "CHUNKS, true, true, NONE, INSIDE_EVENT",
    "LENGTH, true, false, SENT, INSIDE_EVENT",
    "CONNECTION, true, true, MAY_BE_CARRIED_OUT, INSIDE_EVENT"
  })
  void assessesEnd(
      ResponseFraming framing,
      boolean insideEvent,
      boolean hasEvents,
      StopOrder stopOrder,
      StreamEnd end) {
    assertThat(StreamEnd.of(framing, insideEvent, hasEvents, stopOrder)).isEqualTo(end);
  }

  @ParameterizedTest
  @CsvSource({
    "COPIED, '', CARRIED_OUT",
    "COPIED, h, CARRIED_OUT",
    "NO_ROOM, h, CARRIED_OUT",
    "NO_ROOM, '', MAY_BE_CARRIED_OUT",
    "UNKNOWN, '', MAY_BE_CARRIED_OUT",
    "UNREACHABLE, '', MAY_BE_CARRIED_OUT",
    "NO_RUN, '', NONE",
    "BUSY, '', NONE"
  })
  void takesOrderAsRefusedOnlyIfEngineSaysSo(
      CopyOutcome outcome, String handle, StopOrder stopOrder) {
    StopOrderHistory orders = new StopOrderHistory();
    orders.recordOrder();
    orders.recordResult(new CopyResult(outcome, handle));
    assertThat(orders.state()).isEqualTo(stopOrder);
  }

  @ParameterizedTest
  @CsvSource({"COPIED, NONE", "UNREACHABLE, NONE", "BUSY, NONE", "UNKNOWN, MAY_BE_CARRIED_OUT"})
  void keepsOnlyOrderWithoutResponseForFurtherAttemptAtEngine(
      CopyOutcome outcome, StopOrder stopOrder) {
    StopOrderHistory orders = new StopOrderHistory();
    orders.recordOrder();
    orders.recordResult(new CopyResult(outcome, ""));
    orders.recordAttempt();
    assertThat(orders.state()).isEqualTo(stopOrder);
  }
}
