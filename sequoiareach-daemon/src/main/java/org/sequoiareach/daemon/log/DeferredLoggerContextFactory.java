package org.sequoiareach.daemon.log;

import java.net.URI;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/** Factory that returns the one deferred context of the process. */
public final class DeferredLoggerContextFactory implements LoggerContextFactory {

  /** Creates the factory; invoked by Log4j. */
  public DeferredLoggerContextFactory() {}

  @Override
  public LoggerContext getContext(
      String className, ClassLoader loader, Object externalContext, boolean currentContext) {
    return DeferredLogging.CONTEXT;
  }

  @Override
  public LoggerContext getContext(
      String className,
      ClassLoader loader,
      Object externalContext,
      boolean currentContext,
      URI configLocation,
      String name) {
    return DeferredLogging.CONTEXT;
  }

  @Override
  public boolean hasContext(String className, ClassLoader loader, boolean currentContext) {
    // Without a context, LogManager.shutdown() would not write the lines that are still queued.
    return true;
  }

  @Override
  public void removeContext(LoggerContext context) {
    // The context lives as long as the process.
  }

  @Override
  public boolean isClassLoaderDependent() {
    return false;
  }
}
