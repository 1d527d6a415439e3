package org.sequoiareach.daemon.measure;

import com.codahale.metrics.Clock;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * A metric registry whose timers record every value in a histogram. The timers of a standard
 * registry keep a sample of about 1000 values, which is too small for the 99.9th percentile.
 * Thread-safe.
 */
public final class LatencyRegistry extends MetricRegistry {

  private final Clock clock;

  /** Creates an empty registry. */
  public LatencyRegistry() {
    this(Clock.defaultClock());
  }

  LatencyRegistry(Clock clock) {
    this.clock = clock;
  }

  @Override
  public Timer timer(String name) {
    return timer(name, () -> new Timer(new HistogramReservoir(clock)));
  }
}
