package org.sequoiareach.daemon.front;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * Logs and counts answers that were not written whole, at most one line for each answer. Apart from
 * {@link #onDrain}, confined to the event loop.
 */
final class AnswerEndLog {

  /** Configured by itself, so that a flood of decisions does not suppress these lines. */
  private static final Logger LOGGER = LogManager.getLogger("answers");

  private final MetricRegistry metrics;
  private volatile OptionalLong drainStartMs = OptionalLong.empty();

  AnswerEndLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void onDrain(long nowMs) {
    if (drainStartMs.isEmpty()) {
      drainStartMs = OptionalLong.of(nowMs);
    }
  }

  /** Logs an answer that ended before it was written whole, unless it was logged before. */
  void onIncomplete(AnswerProgress answer, AnswerEnd end, long currentSheet) {
    if (answer.isWhole() || !answer.markReported()) {
      return;
    }
    metrics.meter("answers.cut." + end.label()).mark();
    OptionalLong drainStart = drainStartMs;
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "answer-ended")
            .with("request", answer.requestId())
            .with("closedBy", end.closer())
            .with("path", end.label())
            .with("bytes", answer.bytes())
            .with("parts", answer.parts())
            .with("unsentBytes", answer.unsentBytes())
            .with("requestRead", answer.isRequestRead())
            .with("phase", drainStart.isPresent() ? "draining" : "serving")
            .with(
                "drainingMs",
                drainStart.isPresent() ? MonotonicClock.nowMs() - drainStart.getAsLong() : 0)
            .with("admittedSheet", answer.admittedSheet())
            .with("sheet", currentSheet));
  }

  /** Logs what the end of the process interrupts, then each of these answers. */
  void onProcessEnd(Collection<CallerConnection> connections, long currentSheet) {
    List<AnswerProgress> interrupted =
        connections.stream()
            .map(CallerConnection::incompleteAnswer)
            .flatMap(Optional::stream)
            .toList();
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "callers-at-stop")
            .with("connections", connections.size())
            .with("answersIncomplete", interrupted.size())
            .with(
                "requestsIncomplete",
                interrupted.stream().filter(answer -> !answer.isRequestRead()).count())
            .with(
                "unsentBytes", interrupted.stream().mapToLong(AnswerProgress::unsentBytes).sum()));
    interrupted.forEach(answer -> onIncomplete(answer, AnswerEnd.PROCESS_END, currentSheet));
  }
}
