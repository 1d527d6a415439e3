package org.sequoiareach.load.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SseDecoderTest {

  private static final String STREAM =
      ": comment\n\nid: 1\ndata: {\"a\":\"ñ\"}\n\n"
          + "data:x\ndata: y\r\n\r\nevent: z\n\ndata: [DONE]\n\n";

  @Property(seed = "20261203")
  void decodesSameEventsForAnyChunkSize(@ForAll @IntRange(min = 1, max = 20) int chunkSize) {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    SseDecoder decoder = new SseDecoder();
    List<SseEvent> events = new ArrayList<>();
    for (int from = 0; from < bytes.length; from += chunkSize) {
      int to = Math.min(bytes.length, from + chunkSize);
      events.addAll(decoder.feed(Arrays.copyOfRange(bytes, from, to)));
    }

    assertThat(events)
        .containsExactly(
            new SseEvent("1", "{\"a\":\"ñ\"}"),
            new SseEvent("", "x\ny"),
            new SseEvent("", "[DONE]"));
  }
}
