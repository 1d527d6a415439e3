package org.sequoiareach.daemon.log;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.impl.Log4jContextFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * Defers the configuration of Log4j, which takes longer than the rest of a daemon's start. Events
 * logged before {@link #start()} are buffered and written with their original time. Thread-safe.
 */
public final class DeferredLogging {

  /** The number of events that are buffered; further ones are counted and dropped. */
  static final int MAX_BUFFERED_EVENTS = 1_000;

  static final DeferredLoggerContext CONTEXT = new DeferredLoggerContext(MAX_BUFFERED_EVENTS);

  private DeferredLogging() {}

  /** Selects the deferred context. Has no effect once the process has obtained a logger. */
  public static void install() {
    System.setProperty(Provider.PROVIDER_PROPERTY_NAME, DeferredLogProvider.class.getName());
  }

  /** Configures Log4j and writes the buffered events. Has no effect if it was invoked before. */
  public static void start() {
    CONTEXT.start(
        () ->
            (LoggerContext)
                new Log4jContextFactory()
                    .getContext(
                        DeferredLogging.class.getName(),
                        DeferredLogging.class.getClassLoader(),
                        null,
                        false));
  }

  /**
   * Finds the context of Log4j's core, which holds the appenders.
   *
   * @return the context; empty before {@link #start()}
   */
  public static Optional<LoggerContext> findCoreContext() {
    org.apache.logging.log4j.spi.LoggerContext current = LogManager.getContext(false);
    if (current instanceof LoggerContext core) {
      return Optional.of(core);
    }
    return current == CONTEXT ? CONTEXT.findCore() : Optional.empty();
  }
}
