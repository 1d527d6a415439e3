package org.sequoiareach.daemon.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against gaps and repetitions in streams whose attempts begin at other events than asked.
 */
class EventSequencePropertyTest {

  /**
   * An attempt that continues or resumes a stream.
   *
   * @param continuesRun whether it goes on with the run of the attempt before
   * @param offset where it begins, relative to the event after the last one that was forwarded
   * @param events the number of its events
   */
  record Attempt(boolean continuesRun, int offset, int events) {}

  @Property
  void forwardsEachNumberOnceAndWithoutGap(
      @ForAll("attempts") List<Attempt> attempts, @ForAll boolean brokenBeforeFirstEvent) {
    EventSequence sequence = new EventSequence();
    List<Long> forwarded = new ArrayList<>();
    if (!brokenBeforeFirstEvent) {
      play(sequence, new Attempt(false, 0, 3), forwarded);
    }
    for (Attempt attempt : attempts) {
      // A new run before the first event is a first attempt, which a sound engine begins at 1.
      boolean first = sequence.lastId() == 0 && !attempt.continuesRun();
      play(sequence, first ? new Attempt(false, 0, attempt.events()) : attempt, forwarded);
    }

    assertThat(forwarded)
        .containsExactlyElementsOf(LongStream.rangeClosed(1, forwarded.size()).boxed().toList());
  }

  @Provide
  Arbitrary<List<Attempt>> attempts() {
    return Combinators.combine(
            Arbitraries.of(true, false),
            Arbitraries.integers().between(-4, 4),
            Arbitraries.integers().between(0, 6))
        .as(Attempt::new)
        .list()
        .ofMaxSize(8);
  }

  private static void play(EventSequence sequence, Attempt attempt, List<Long> forwarded) {
    long start = Math.max(1, sequence.lastId() + 1 + attempt.offset());
    for (long id = start; id < start + attempt.events(); id++) {
      ServerSentEventSplitter.Event event =
          new ServerSentEventSplitter.Event(OptionalLong.of(id), true, Unpooled.EMPTY_BUFFER);
      EventSequence.Position position = sequence.receive(event, attempt.continuesRun());
      if (position == EventSequence.Position.AFTER_GAP) {
        return;
      }
      if (position == EventSequence.Position.NEXT) {
        sequence.accept(event);
        forwarded.add(id);
      }
    }
  }
}
