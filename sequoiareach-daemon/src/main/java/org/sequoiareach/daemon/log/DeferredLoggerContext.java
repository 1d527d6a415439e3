package org.sequoiareach.daemon.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.Terminable;

/**
 * Logger context that buffers a bounded number of events until it is started, and then passes all
 * events to a context of Log4j's core. Thread-safe.
 */
final class DeferredLoggerContext
    implements org.apache.logging.log4j.spi.LoggerContext, Terminable {

  private final Map<String, DeferredLogger> loggers = new ConcurrentHashMap<>();
  private final List<Log4jLogEvent> buffered = new ArrayList<>();
  private final int maxBuffered;
  private int dropped;
  private volatile LoggerContext core;

  DeferredLoggerContext(int maxBuffered) {
    this.maxBuffered = maxBuffered;
  }

  /** Starts the context with a core context, unless it was started before. */
  synchronized void start(Supplier<LoggerContext> coreSource) {
    if (core != null) {
      return;
    }
    LoggerContext started = coreSource.get();
    loggers.values().forEach(logger -> logger.setLevel(levelOf(started, logger.getName())));
    writeBuffered(started);
    core = started;
  }

  Optional<LoggerContext> findCore() {
    return Optional.ofNullable(core);
  }

  void log(
      DeferredLogger logger,
      String callerClass,
      Level level,
      Marker marker,
      Message message,
      Throwable thrown) {
    if (core == null && bufferUnlessStarted(logger, callerClass, level, marker, message, thrown)) {
      return;
    }
    core.getLogger(logger.getName()).logMessage(callerClass, level, marker, message, thrown);
  }

  @Override
  public Object getExternalContext() {
    return null;
  }

  @Override
  public ExtendedLogger getLogger(String name) {
    return getLogger(name, null);
  }

  @Override
  public ExtendedLogger getLogger(String name, MessageFactory messageFactory) {
    // Reusable messages would be overwritten while they are buffered.
    return loggers.computeIfAbsent(
        name, key -> createLogger(key, ParameterizedMessageFactory.INSTANCE));
  }

  @Override
  public boolean hasLogger(String name) {
    return loggers.containsKey(name);
  }

  @Override
  public boolean hasLogger(String name, MessageFactory messageFactory) {
    return hasLogger(name);
  }

  @Override
  public boolean hasLogger(String name, Class<? extends MessageFactory> messageFactoryClass) {
    return hasLogger(name);
  }

  @Override
  public void terminate() {
    findCore().ifPresent(LoggerContext::terminate);
  }

  private DeferredLogger createLogger(String name, MessageFactory messageFactory) {
    DeferredLogger logger = new DeferredLogger(this, name, messageFactory);
    findCore().ifPresent(started -> logger.setLevel(levelOf(started, name)));
    return logger;
  }

  private synchronized boolean bufferUnlessStarted(
      DeferredLogger logger,
      String callerClass,
      Level level,
      Marker marker,
      Message message,
      Throwable thrown) {
    if (core != null) {
      return false;
    }
    if (buffered.size() >= maxBuffered) {
      dropped++;
      return true;
    }
    buffered.add(
        Log4jLogEvent.newBuilder()
            .setLoggerName(logger.getName())
            .setLoggerFqcn(callerClass)
            .setLevel(level)
            .setMarker(marker)
            .setMessage(message)
            .setThrown(thrown)
            .setThreadName(Thread.currentThread().getName())
            .setTimeMillis(System.currentTimeMillis())
            .build());
    return true;
  }

  private void writeBuffered(LoggerContext started) {
    for (Log4jLogEvent event : buffered) {
      org.apache.logging.log4j.core.Logger logger = started.getLogger(event.getLoggerName());
      if (logger.isEnabled(event.getLevel(), event.getMarker(), event.getMessage(), null)) {
        logger.get().log(event);
      }
    }
    buffered.clear();
    if (dropped > 0) {
      started
          .getLogger(DeferredLoggerContext.class.getName())
          .warn("Dropped {} log events because logging had not started yet", dropped);
    }
  }

  private static Level levelOf(LoggerContext core, String name) {
    return core.getLogger(name).getLevel();
  }
}
