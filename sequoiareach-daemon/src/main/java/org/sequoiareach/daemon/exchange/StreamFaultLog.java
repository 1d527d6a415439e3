package org.sequoiareach.daemon.exchange;

import com.codahale.metrics.MetricRegistry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.StreamFault;

/** Logs and counts what targets send in event streams that no sound target sends. Thread-safe. */
final class StreamFaultLog {

  /** Shares the limit on the rate of lines with the lines about incomplete answers. */
  private static final Logger LOGGER = LogManager.getLogger("answers");

  private final MetricRegistry metrics;

  StreamFaultLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Logs a fault.
   *
   * @param afterEvent the number of the last event that the caller has
   */
  void onFault(
      StreamFault fault,
      EventBlock block,
      String requestId,
      AttemptResponseHandler attempt,
      long afterEvent) {
    metrics.meter("streams.faults." + fault.label()).mark();
    LOGGER.info(
        new StringMapMessage()
            .with("decision", "stream-fault")
            .with("request", requestId)
            .with("target", attempt.targetId())
            .with("attempt", attempt.number())
            .with("fault", fault.label())
            .with("afterEvent", afterEvent)
            .with("blockBytes", block.bytes().readableBytes())
            .with("start", block.describeStart()));
  }
}
