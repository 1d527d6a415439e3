package org.sequoiareach.daemon.measure;

import com.codahale.metrics.Clock;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Registry whose timers count every value, where those of a plain registry keep a sample of about a
 * thousand, too few for the slowest in a thousand. Thread-safe.
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
