package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventSequenceTest {

  private static final int EVENT_BYTES = 64 << 10;

  private final EventSequence events = new EventSequence();

  @ParameterizedTest
  @CsvSource({
    "0, false, 1, NEXT",
    "0, false, 7, NEXT",
    "6, false, 7, NEXT",
    "7, false, 7, REPEATED",
    "9, false, 7, REPEATED",
    "5, false, 7, AFTER_GAP",
    "0, true, 1, NEXT",
    "0, true, 2, AFTER_GAP",
    "6, true, 7, NEXT",
    "7, true, 7, REPEATED",
    "5, true, 7, AFTER_GAP"
  })
  void placesEventByItsId(
      long lastId, boolean continuesRun, long id, EventSequence.Position position) {
    events.resumeAfter(lastId);

    assertThat(events.receive(event(OptionalLong.of(id), true), continuesRun)).isEqualTo(position);
    assertThat(events.lastId()).isEqualTo(lastId);
  }

  @Test
  void passesEventsWithoutIdOnAndRemembersThem() {
    assertThat(events.receive(event(OptionalLong.empty(), true), false))
        .isEqualTo(EventSequence.Position.NEXT);
    assertThat(events.allNumbered()).isTrue();

    events.accept(event(OptionalLong.empty(), false));

    assertThat(events.allNumbered()).isTrue();

    events.accept(event(OptionalLong.empty(), true));

    assertThat(events.allNumbered()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"0, 1, true, false", "4, 4, true, true", "0, , true, false", "4, , true, true"})
  void isFloodedByBytesWithoutProgress(long lastId, Long id, boolean hasContent, boolean flooded) {
    OptionalLong eventId = id == null ? OptionalLong.empty() : OptionalLong.of(id);
    events.resumeAfter(lastId);
    for (int i = 0; i < 5; i++) {
      events.receive(event(eventId, hasContent), false);
    }

    assertThat(events.isFlooded()).isEqualTo(flooded);
  }

  private static ServerSentEventSplitter.Event event(OptionalLong id, boolean hasContent) {
    return new ServerSentEventSplitter.Event(
        id, hasContent, Unpooled.wrappedBuffer(new byte[EVENT_BYTES]));
  }
}
