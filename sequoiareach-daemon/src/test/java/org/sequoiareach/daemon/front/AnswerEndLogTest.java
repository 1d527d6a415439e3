package org.sequoiareach.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sequoiareach.store.time.MonotonicClock;

/** Tests that each answer that ends early gets one line that names who ended it and how. */
class AnswerEndLogTest {

  private static final long DRAIN_AGE_MS = 700;

  private final MetricRegistry metrics = new MetricRegistry();
  private final AnswerEndLog log = new AnswerEndLog(metrics);
  private final RecordingAppender written = new RecordingAppender();
  private final AnswerProgress answer = new AnswerProgress("r-1", true, 3);
  private Logger logger;

  @BeforeEach
  void start() {
    logger = (Logger) LogManager.getLogger("answers");
    written.start();
    logger.addAppender(written);
    answer.onPart(100);
    answer.onPart(20);
    answer.onWritten(100);
  }

  @AfterEach
  void stop() {
    logger.removeAppender(written);
    written.stop();
  }

  @ParameterizedTest
  @EnumSource(AnswerEnd.class)
  void logsAndCountsIncompleteAnswerOnce(AnswerEnd end) {
    log.onIncomplete(answer, end, 4);
    log.onIncomplete(answer, AnswerEnd.CALLER_LEFT, 4);

    assertThat(written.lines).hasSize(1);
    assertThat(written.lines.get(0))
        .containsEntry("decision", "answer-ended")
        .containsEntry("request", "r-1")
        .containsEntry("closedBy", end.closer())
        .containsEntry("path", end.label())
        .containsEntry("bytes", "120")
        .containsEntry("parts", "2")
        .containsEntry("unsentBytes", "20")
        .containsEntry("requestRead", "true")
        .containsEntry("phase", "serving")
        .containsEntry("admittedSheet", "3")
        .containsEntry("sheet", "4");
    assertThat(metrics.meter("answers.cut." + end.label()).getCount()).isEqualTo(1);
  }

  @Test
  void tellsAgeOfDrain() {
    log.onDrain(MonotonicClock.nowMs() - DRAIN_AGE_MS);
    log.onDrain(MonotonicClock.nowMs());

    log.onIncomplete(answer, AnswerEnd.PROCESS_END, 4);

    assertThat(written.lines.get(0)).containsEntry("phase", "draining");
    assertThat(Long.parseLong(written.lines.get(0).get("drainingMs")))
        .isGreaterThanOrEqualTo(DRAIN_AGE_MS);
  }

  @Test
  void logsNothingForWholeAnswer() {
    answer.onEndWritten();

    log.onIncomplete(answer, AnswerEnd.CALLER_LEFT, 4);

    assertThat(written.lines).isEmpty();
    assertThat(metrics.getMeters()).isEmpty();
  }

  private static final class RecordingAppender extends AbstractAppender {

    private final List<Map<String, String>> lines = Collections.synchronizedList(new ArrayList<>());

    private RecordingAppender() {
      super("recording", null, null, true, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
      Map<String, String> line = new HashMap<>();
      ((StringMapMessage) event.getMessage())
          .forEach((key, value) -> line.put(key, String.valueOf((Object) value)));
      lines.add(line);
    }
  }
}
