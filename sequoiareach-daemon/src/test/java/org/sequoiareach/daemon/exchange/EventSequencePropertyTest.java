package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sequoiareach.daemon.sse.BlockReading;
import org.sequoiareach.daemon.sse.EventBlock;
import org.sequoiareach.daemon.sse.NumberedEventStreamFormat;

/**
 * Guards against gaps and repetitions in streams whose attempts begin at other events than asked.
 */
class EventSequencePropertyTest {

  private static final int MAX_SOUND_FILLERS = 1_000;

  /**
   * An attempt that continues or resumes a stream.
   *
   * @param offset where it begins, relative to the event after the last one that was forwarded
   * @param events the number of its events
   */
  record Attempt(int offset, int events) {}

  @Property
  void forwardsEachNumberOnceAndWithoutGap(@ForAll("attempts") List<Attempt> attempts) {
    EventSequence sequence = new EventSequence();
    List<Long> forwarded = new ArrayList<>();
    attempts.forEach(attempt -> play(sequence, attempt, forwarded));

    assertThat(forwarded)
        .containsExactlyElementsOf(LongStream.rangeClosed(1, forwarded.size()).boxed().toList());
  }

  /** Guards against a target that uses up the processor by blocks of a few bytes each. */
  @Property
  void boundsTheFillersOfWhichNoEventFollows(
      @ForAll("fillers") List<Integer> fillersBeforeEvents, @ForAll("filler") String filler) {
    EventSequence sequence = new EventSequence();
    long id = 0;
    for (int fillers : fillersBeforeEvents) {
      for (int i = 0; i < fillers; i++) {
        receive(sequence, filler);
      }
      id++;
      assertThat(sequence.isFlooded()).as("flooded after %s fillers", fillers).isEqualTo(false);
      receive(sequence, "id: " + id + "\ndata: a\n\n");
    }
    int endless = 0;
    while (!sequence.isFlooded()) {
      receive(sequence, filler);
      endless++;
    }
    assertThat(endless).isLessThanOrEqualTo(2 * MAX_SOUND_FILLERS);
  }

  private static void receive(EventSequence sequence, String block) {
    sequence.receive(
        EventBlock.parse(Unpooled.copiedBuffer(block, StandardCharsets.US_ASCII)),
        new NumberedEventStreamFormat(Set.of()));
  }

  /** A sound server sends some comments to keep a connection alive. */
  @Provide
  Arbitrary<List<Integer>> fillers() {
    return Arbitraries.integers().between(0, MAX_SOUND_FILLERS).list().ofMaxSize(4);
  }

  @Provide
  Arbitrary<String> filler() {
    return Arbitraries.of("\n\n", ":\n\n", ": ping\n\n", "retry: 1\n\n", "\r\n\r\n");
  }

  @Provide
  Arbitrary<List<Attempt>> attempts() {
    return Combinators.combine(
            Arbitraries.integers().between(-4, 4), Arbitraries.integers().between(0, 6))
        .as(Attempt::new)
        .list()
        .ofMaxSize(8);
  }

  private static void play(EventSequence sequence, Attempt attempt, List<Long> forwarded) {
    long start = Math.max(1, sequence.lastId() + 1 + attempt.offset());
    for (long id = start; id < start + attempt.events(); id++) {
      String event = "id: " + id + "\ndata: a\n\n";
      BlockReading reading =
          sequence.receive(
              EventBlock.parse(Unpooled.copiedBuffer(event, StandardCharsets.US_ASCII)),
              new NumberedEventStreamFormat(Set.of()));
      if (reading.fault().isPresent()) {
        return;
      }
      if (reading.kind() == BlockReading.Kind.NEXT) {
        forwarded.add(id);
      }
    }
  }
}
