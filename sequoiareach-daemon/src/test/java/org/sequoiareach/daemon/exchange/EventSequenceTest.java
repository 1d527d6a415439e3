package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.EventStreamFormat;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;
import org.sequoiareach.daemon.sse.UnnumberedEventStreamFormat;

class EventSequenceTest {

  private static final int BLOCK_BYTES = 64 << 10;

  private static final EventStreamFormat NUMBERED = new NumberedEventStreamFormat(Set.of());
  private static final EventStreamFormat UNNUMBERED = new UnnumberedEventStreamFormat();

  private final EventSequence events = new EventSequence();

  @ParameterizedTest
  @CsvSource({
    "0, 1, NEXT",
    "0, 2, INVALID",
    "0, 7, INVALID",
    "6, 7, NEXT",
    "7, 7, REPEATED",
    "9, 7, REPEATED",
    "5, 7, INVALID"
  })
  void placesEventByItsId(long lastId, long id, BlockReading.Kind kind) {
    events.resumeAfter(lastId);

    assertThat(events.receive(block("id: " + id + "\ndata: a"), NUMBERED).kind()).isEqualTo(kind);
    assertThat(events.lastId()).isEqualTo(kind == BlockReading.Kind.NEXT ? id : lastId);
    assertThat(events.isResumable()).isTrue();
  }

  @Test
  void cannotBeResumedAfterEventOfStreamWithoutNumbers() {
    events.receive(block(": ping"), UNNUMBERED);

    assertThat(events.isResumable()).isTrue();

    assertThat(events.receive(block("data: a"), UNNUMBERED).kind())
        .isEqualTo(BlockReading.Kind.NEXT);
    assertThat(events.isResumable()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"0, id: 1, false", "4, id: 4, true", "0, :, true", "4, :, true"})
  void isFloodedByBytesWithoutProgress(long lastId, String start, boolean flooded) {
    events.resumeAfter(lastId);
    for (int i = 0; i < 5; i++) {
      events.receive(longBlock(start), NUMBERED);
    }

    assertThat(events.isFlooded()).isEqualTo(flooded);
  }

  @ParameterizedTest
  @CsvSource({"data, false", ":, true"})
  void isNotFloodedByEventsWithoutNumbers(String start, boolean flooded) {
    for (int i = 0; i < 5; i++) {
      events.receive(longBlock(start), UNNUMBERED);
    }

    assertThat(events.isFlooded()).isEqualTo(flooded);
  }

  @ParameterizedTest
  @CsvSource({"16384, false", "16385, true"})
  void isFloodedByPartsOfEventWithoutEnd(int parts, boolean flooded) {
    events.receive(block("id: 1\ndata: a"), NUMBERED);
    for (int i = 0; i < parts; i++) {
      events.countPart();
    }

    assertThat(events.isFlooded()).isEqualTo(flooded);
  }

  /** Returns a block of {@link #BLOCK_BYTES} bytes. */
  private static EventBlock longBlock(String start) {
    String lines = start + (start.equals(":") ? "" : "\ndata: ");
    return block(lines + "x".repeat(BLOCK_BYTES - lines.length() - "\n\n".length()));
  }

  private static EventBlock block(String lines) {
    return EventBlock.parse(Unpooled.copiedBuffer(lines + "\n\n", StandardCharsets.UTF_8));
  }
}
