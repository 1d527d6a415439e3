package org.sequoiareach.store.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;
import org.sequoiareach.store.time.MonotonicClock;
import reactor.netty.http.client.HttpClient;

/** Guards against responses that use up the heap, each alone or all at once. */
class ResponseMemoryTest {

  private static final int RESPONSES = 8;
  private static final int MAX_BYTES = 64 << 10;
  private static final long LIMIT_BYTES = 128 << 10;
  private static final long TIMEOUT_MS = 5_000;

  /**
   * A part of a response, or the end of the response.
   *
   * @param bytes the length of the part; 0 for the end
   */
  record Step(int response, int bytes) {}

  @Property
  void holdsWhatIsAppendedUpToItsLimitsAndReleasesAll(@ForAll("steps") List<Step> steps) {
    ResponseMemory memory = new ResponseMemory(LIMIT_BYTES);
    List<ResponseBuffer> buffers = new ArrayList<>();
    IntStream.range(0, RESPONSES).forEach(i -> buffers.add(new ResponseBuffer(MAX_BYTES, memory)));
    for (Step step : steps) {
      ResponseBuffer buffer = buffers.get(step.response());
      if (step.bytes() == 0 || !tryAppend(buffer, step.bytes())) {
        buffer.release();
        buffers.set(step.response(), new ResponseBuffer(MAX_BYTES, memory));
      }
      long held = buffers.stream().mapToLong(open -> open.text().length()).sum();
      assertThat(memory.heldBytes()).isEqualTo(held).isLessThanOrEqualTo(LIMIT_BYTES);
      assertThat(buffers).allMatch(open -> open.text().length() <= MAX_BYTES);
    }
    buffers.forEach(ResponseBuffer::release);
    assertThat(memory.heldBytes()).isZero();
  }

  private static boolean tryAppend(ResponseBuffer buffer, int bytes) {
    try {
      buffer.append("x".repeat(bytes).getBytes(StandardCharsets.US_ASCII));
      return true;
    } catch (ResponseTooLargeException | IllegalStateException e) {
      return false;
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Integer> bytes =
        Arbitraries.frequencyOf(
            Tuple.of(1, Arbitraries.just(0)),
            Tuple.of(3, Arbitraries.integers().between(1, 40 << 10)));
    return Combinators.combine(Arbitraries.integers().between(0, RESPONSES - 1), bytes)
        .as(Step::new)
        .list()
        .ofMaxSize(60);
  }

  @Test
  void keepsRoomForShortResponsesBesideLongOnes() {
    ResponseMemory memory = new ResponseMemory(LIMIT_BYTES);
    long reserved = 0;
    while (memory.tryReserve(reserved, MAX_BYTES / 4 + 1)) {
      reserved += MAX_BYTES / 4 + 1;
    }
    assertThat(memory.tryReserve(0, ResponseMemory.SHORT_BYTES)).isTrue();
  }

  @Test
  void releasesResponseThatIsTooLargeAndNamesItsCause() throws Exception {
    ResponseMemory memory = new ResponseMemory(LIMIT_BYTES);
    try (TestHttpServer server = TestHttpServer.endless()) {
      HttpCaller caller =
          new HttpCaller(HttpClient.create(), 1 << 20)
              .withMaxBodyBytes(MAX_BYTES)
              .withResponseMemory(memory);
      assertThatThrownBy(
              () -> caller.get(server.address(), "/", MonotonicClock.nowMs() + TIMEOUT_MS).block())
          .isInstanceOf(HttpCallException.class)
          .hasCauseInstanceOf(ResponseTooLargeException.class);
    }
    assertThat(memory.heldBytes()).isZero();
  }
}
