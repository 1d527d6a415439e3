package org.sequoiareach.daemon.gateway;

import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Formats a metric registry as text with one value per line, timers in milliseconds. Thread-safe.
 */
final class MetricsTextFormatter {

  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final MetricRegistry metrics;

  MetricsTextFormatter(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  String format() {
    StringBuilder text = new StringBuilder();
    metrics
        .getGauges()
        .forEach((name, gauge) -> line(text, name, "", String.valueOf(gauge.getValue())));
    metrics
        .getCounters()
        .forEach((name, counter) -> line(text, name, "", Long.toString(counter.getCount())));
    metrics.getMeters().forEach((name, meter) -> count(text, name, meter));
    metrics.getTimers().forEach((name, timer) -> timer(text, name, timer));
    return text.toString();
  }

  private static void count(StringBuilder text, String name, Metered meter) {
    line(text, name, "_total", Long.toString(meter.getCount()));
  }

  private static void timer(StringBuilder text, String name, Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    count(text, name, timer);
    line(text, name, "_ms{quantile=\"0.5\"}", ms(snapshot.getMedian()));
    line(text, name, "_ms{quantile=\"0.95\"}", ms(snapshot.get95thPercentile()));
    line(text, name, "_ms{quantile=\"0.99\"}", ms(snapshot.get99thPercentile()));
    line(text, name, "_ms{quantile=\"0.999\"}", ms(snapshot.get999thPercentile()));
  }

  private static String ms(double nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / NANOS_PER_MS);
  }

  private static void line(StringBuilder text, String name, String suffix, String value) {
    text.append("sequoiareach_")
        .append(name.replaceAll("[^A-Za-z0-9]", "_"))
        .append(suffix)
        .append(' ')
        .append(value)
        .append('\n');
  }
}
