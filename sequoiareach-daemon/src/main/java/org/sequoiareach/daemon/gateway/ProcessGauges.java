package org.sequoiareach.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import java.util.Map;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.appender.CountingNoOpAppender;
import org.sequoiareach.daemon.log.DeferredLogging;

/** Gauges of the process: its heap usage and the log lines that it dropped. */
final class ProcessGauges {

  private static final String DROPPED_APPENDER = "dropped";

  private ProcessGauges() {}

  static MetricSet create() {
    Map<String, Metric> gauges =
        Map.of(
            "process.heap.bytes", (Gauge<Long>) ProcessGauges::usedHeapBytes,
            "log.dropped", (Gauge<Long>) ProcessGauges::droppedLogLines);
    return () -> gauges;
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the number of lines dropped because standard output was not read fast enough. */
  private static long droppedLogLines() {
    return DeferredLogging.findCoreContext()
        .map(context -> context.getConfiguration().<Appender>getAppender(DROPPED_APPENDER))
        .filter(CountingNoOpAppender.class::isInstance)
        .map(appender -> ((CountingNoOpAppender) appender).getCount())
        .orElse(0L);
  }
}
