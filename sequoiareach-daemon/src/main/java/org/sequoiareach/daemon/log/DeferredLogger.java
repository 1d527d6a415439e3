package org.sequoiareach.daemon.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.AbstractLogger;

/**
 * Logger that hands its events to the {@link DeferredLoggerContext}. Its level is INFO until the
 * context has started, and then the configured one; markers are not considered.
 */
final class DeferredLogger extends AbstractLogger {

  private static final long serialVersionUID = 1L;

  private final transient DeferredLoggerContext context;
  private volatile Level level = Level.INFO;

  DeferredLogger(DeferredLoggerContext context, String name, MessageFactory messageFactory) {
    super(name, messageFactory);
    this.context = context;
  }

  void setLevel(Level configured) {
    level = configured;
  }

  @Override
  public Level getLevel() {
    return level;
  }

  @Override
  public void logMessage(
      String callerClass, Level messageLevel, Marker marker, Message message, Throwable thrown) {
    context.log(this, callerClass, messageLevel, marker, message, thrown);
  }

  private boolean permits(Level messageLevel) {
    return messageLevel.isMoreSpecificThan(level);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, Message message, Throwable thrown) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel, Marker marker, CharSequence message, Throwable thrown) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, Object message, Throwable thrown) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, String message, Throwable thrown) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, String message) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, String message, Object... params) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(Level messageLevel, Marker marker, String message, Object p0) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel, Marker marker, String message, Object p0, Object p1) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel, Marker marker, String message, Object p0, Object p1, Object p2) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7,
      Object p8) {
    return permits(messageLevel);
  }

  @Override
  public boolean isEnabled(
      Level messageLevel,
      Marker marker,
      String message,
      Object p0,
      Object p1,
      Object p2,
      Object p3,
      Object p4,
      Object p5,
      Object p6,
      Object p7,
      Object p8,
      Object p9) {
    return permits(messageLevel);
  }
}
