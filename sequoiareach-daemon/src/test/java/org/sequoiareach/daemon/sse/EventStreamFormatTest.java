package org.sequoiareach.daemon.sse;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a block of a stream is taken for; {@code |} stands for LF and {@code ^} for CR. */
class EventStreamFormatTest {

  private static final EventStreamFormat NUMBERED =
      new NumberedEventStreamFormat(Set.of("weights-version"));
  private static final EventStreamFormat UNNUMBERED = new UnnumberedEventStreamFormat();

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "0; id: 1|data: a||; 1",
        "0; id:1|data:a||; 1",
        "4; id: 5|data||; 5",
        "4; data: a|data: b|id: 5||; 5",
        "4; event: token|id: 5|retry: 10|data: a||; 5",
        "4; weights-version: 7|id: 5|data: a||; 5",
        "4; : ping|id: 5|data: a||; 5",
        "4; |id: 5|data: a||; 5",
        "4; id: 5^|data: a^|^|; 5",
        "999999999999999998; id: 999999999999999999|data: a||; 999999999999999999"
      })
  void takesBlockWithNextNumberForNextEvent(long lastId, String block, long id) {
    assertThat(NUMBERED.read(parse(block), lastId)).isEqualTo(BlockReading.next(id));
  }

  @ParameterizedTest
  @ValueSource(longs = {5, 6, 100})
  void takesBlockWithEarlierNumberForRepetition(long lastId) {
    assertThat(NUMBERED.read(parse("id: 5|data: a||"), lastId)).isEqualTo(BlockReading.repeated(5));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"||", ": ping||", ":||", "retry: 10||", ": a^|: b^|^|", "|", ": end|", ""})
  void takesBlockWithoutEventForFiller(String block) {
    assertThat(NUMBERED.read(parse(block), 4)).isEqualTo(BlockReading.FILLER);
    assertThat(UNNUMBERED.read(parse(block), 0)).isEqualTo(BlockReading.FILLER);
  }

  /** Guards against a piece that no run made and that passes for an event without a number. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "data: a||; MISSING_ID",
        "event: token||; MISSING_ID",
        "weights-version: 7||; MISSING_ID",
        "weights-version: x|id: 5|data: a||; INVALID_VALUE",
        "retry: soon||; INVALID_VALUE",
        "id|data: a||; INVALID_ID",
        "id:|data: a||; INVALID_ID",
        "id: |data: a||; INVALID_ID",
        "id: x|data: a||; INVALID_ID",
        "id: +5|data: a||; INVALID_ID",
        "id: -5|data: a||; INVALID_ID",
        "id: 05|data: a||; INVALID_ID",
        "id: 0|data: a||; INVALID_ID",
        "id:  5|data: a||; INVALID_ID",
        "id: 5 |data: a||; INVALID_ID",
        "id: ٥|data: a||; INVALID_ID",
        "id: 1000000000000000000|data: a||; INVALID_ID",
        "id: 5|id: 6|data: a||; SEVERAL_IDS",
        "id: 5|id: 5|data: a||; SEVERAL_IDS",
        "id: 5||; MISSING_DATA",
        "id: 4||; MISSING_DATA",
        "id: 6|data: a||; GAP",
        "HTTP/1.1 200 OK^|Content-Length: 0^|^|; UNKNOWN_FIELD",
        "garbage||; UNKNOWN_FIELD",
        "Id: 5|data: a||; UNKNOWN_FIELD",
        "' id: 5|data: a||'; UNKNOWN_FIELD",
        "\uFEFFid: 5|data: a||; UNKNOWN_FIELD",
        "id: 5|data: a|{}||; UNKNOWN_FIELD",
        "id: 5^data: a||; AMBIGUOUS_LINE_END",
        "id: 5|data: a^^|^|; AMBIGUOUS_LINE_END",
        ": ping^id: 9^data: a^^|; AMBIGUOUS_LINE_END"
      })
  void rejectsBlockThatNoSoundServerSends(String block, StreamFault fault) {
    assertThat(NUMBERED.read(parse(block), 4)).isEqualTo(BlockReading.invalid(fault));
  }

  @ParameterizedTest
  @CsvSource({"0, 7", "0, 2", "4, 6"})
  void rejectsEventAfterGapAlsoAtStart(long lastId, long id) {
    assertThat(NUMBERED.read(parse("id: " + id + "|data: a||"), lastId))
        .isEqualTo(BlockReading.invalid(StreamFault.GAP));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "data: a||; NEXT",
        "id: x|data: a||; NEXT",
        "id: x||; FILLER",
        "garbage||; FILLER",
        "more: b|data: a^b||; NEXT"
      })
  void readsStreamWithoutNumbers(String block, BlockReading.Kind kind) {
    assertThat(UNNUMBERED.read(parse(block), 0).kind()).isEqualTo(kind);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "a^|\\; a\\r\\n\\\\",
        "٥; \\xd9\\xa5",
        "0123456789012345678901234567890123456789012345678; "
            + "012345678901234567890123456789012345678901234567…"
      })
  void describesStartOfBlockInPrintableCharacters(String block, String description) {
    assertThat(parse(block).describeStart()).isEqualTo(description);
  }

  private static EventBlock parse(String block) {
    String text = block.replace('|', '\n').replace('^', '\r');
    return EventBlock.parse(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }
}
