package org.sequoiareach.daemon.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.CountingNoOpAppender;

/** Shows what the process itself uses and drops. */
final class Gauges {

  private static final String DROPPED_APPENDER = "dropped";

  private Gauges() {}

  static MetricSet ofProcess() {
    Map<String, Metric> gauges =
        Map.of(
            "process.heap.bytes", (Gauge<Long>) Gauges::heapBytes,
            "log.dropped", (Gauge<Long>) Gauges::droppedLines);
    return () -> gauges;
  }

  private static long heapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Counts the lines that were dropped because standard output was not read fast enough. */
  private static long droppedLines() {
    if (!(LogManager.getContext(false) instanceof LoggerContext context)) {
      return 0;
    }
    return context.getConfiguration().getAppender(DROPPED_APPENDER)
            instanceof CountingNoOpAppender counting
        ? counting.getCount()
        : 0;
  }
}
