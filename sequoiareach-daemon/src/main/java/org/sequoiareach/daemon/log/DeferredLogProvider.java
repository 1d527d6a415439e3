package org.sequoiareach.daemon.log;

import org.apache.logging.log4j.spi.Provider;

/** Log4j provider of the deferred context; selected by {@link DeferredLogging#install()}. */
public final class DeferredLogProvider extends Provider {

  private static final int PRIORITY = 1;

  /** Creates the provider; invoked by Log4j. */
  public DeferredLogProvider() {
    super(PRIORITY, CURRENT_VERSION, DeferredLoggerContextFactory.class);
  }
}
