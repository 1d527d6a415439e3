package org.sequoiareach.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a deferred context writes what was logged before its start, once and in order. */
class DeferredLoggerContextTest {

  private static final int MAX_BUFFERED = 5;

  private final DeferredLoggerContext context = new DeferredLoggerContext(MAX_BUFFERED);
  private final LoggerContext core = new LoggerContext("core");
  private final RecordingAppender written = new RecordingAppender();

  @BeforeEach
  void configureCore() {
    DefaultConfiguration configuration = new DefaultConfiguration();
    core.start(configuration);
    LoggerConfig root = configuration.getRootLogger();
    root.getAppenders().keySet().forEach(root::removeAppender);
    root.setLevel(Level.INFO);
    written.start();
    root.addAppender(written, null, null);
    configuration.addLogger("quiet", new LoggerConfig("quiet", Level.ERROR, true));
    core.updateLoggers();
  }

  @AfterEach
  void stop() {
    core.stop();
  }

  @Test
  void writesBufferedEventsInOrderWithTheirOriginalTime() throws InterruptedException {
    ExtendedLogger logger = context.getLogger("daemon");
    logger.info("first {}", 1);
    logger.warn("second", new IllegalStateException("cause"));
    final long loggedByMs = System.currentTimeMillis();
    Thread.sleep(20);

    context.start(() -> core);
    logger.info("third");

    assertThat(written.messages()).containsExactly("first 1", "second", "third");
    assertThat(written.events.get(0).getTimeMillis()).isLessThanOrEqualTo(loggedByMs);
    assertThat(written.events.get(1).getThrown()).hasMessage("cause");
    assertThat(written.events.get(2).getTimeMillis()).isGreaterThan(loggedByMs);
  }

  @ParameterizedTest
  @CsvSource({"daemon, INFO, true", "daemon, DEBUG, false", "quiet, WARN, false"})
  void appliesConfiguredLevels(String name, String levelName, boolean isWritten) {
    Level level = Level.valueOf(levelName);
    ExtendedLogger logger = context.getLogger(name);
    logger.log(level, "before");
    context.start(() -> core);
    logger.log(level, "after");

    assertThat(written.messages()).isEqualTo(isWritten ? List.of("before", "after") : List.of());
    assertThat(context.getLogger(name).isEnabled(level)).isEqualTo(isWritten);
  }

  @Test
  void reportsEventsBeyondTheBufferAsDropped() {
    ExtendedLogger logger = context.getLogger("daemon");
    for (int i = 0; i < MAX_BUFFERED + 2; i++) {
      logger.info("event {}", i);
    }

    context.start(() -> core);

    assertThat(written.messages())
        .hasSize(MAX_BUFFERED + 1)
        .last()
        .isEqualTo("Dropped 2 log events because logging had not started yet");
  }

  @Test
  void startsOnce() {
    context.getLogger("daemon").info("only once");

    context.start(() -> core);
    context.start(
        () -> {
          throw new AssertionError("the context was started before");
        });

    assertThat(written.messages()).containsExactly("only once");
    assertThat(context.findCore()).contains(core);
  }

  @Test
  void stopsCoreWhenLoggingIsShutDown() {
    context.start(() -> core);

    context.terminate();

    assertThat(core.isStopped()).isTrue();
    assertThat(new DeferredLoggerContextFactory().hasContext("any", null, false)).isTrue();
  }

  private static final class RecordingAppender extends AbstractAppender {

    private final List<LogEvent> events = Collections.synchronizedList(new ArrayList<>());

    private RecordingAppender() {
      super("recording", null, null, true, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
      events.add(event.toImmutable());
    }

    private List<String> messages() {
      return events.stream().map(event -> event.getMessage().getFormattedMessage()).toList();
    }
  }
}
