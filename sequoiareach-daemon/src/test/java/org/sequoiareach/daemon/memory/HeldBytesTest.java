package org.sequoiareach.daemon.memory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the limit of held bodies: callers that send many large bodies and few small ones. */
class HeldBytesTest {

  private static final long LARGE_BYTES = 4 << 20;
  private static final long LIMIT_BYTES = 4 * LARGE_BYTES;

  private final HeldBytes memory = new HeldBytes(LIMIT_BYTES);

  @Test
  void servesSmallBodiesWhileLargeOnesAreRefused() {
    int admitted = 0;
    while (memory.tryReserve(0, LARGE_BYTES)) {
      admitted++;
    }

    assertThat(admitted).isEqualTo(3);
    for (int i = 0; i < 50; i++) {
      assertThat(memory.tryReserve(0, HeldBytes.SMALL_BYTES)).isTrue();
    }
  }

  @ParameterizedTest
  @CsvSource({"0, 65536, true", "0, 65537, false", "65536, 1, false", "65535, 1, true"})
  void countsBodyAsSmallByItsWholeLength(long reserved, long bytes, boolean admitted) {
    assertThat(memory.tryReserve(0, 3 * LARGE_BYTES)).isTrue();

    assertThat(memory.tryReserve(reserved, bytes)).isEqualTo(admitted);
  }

  @Test
  void admitsNextBodyOnceOneIsReleased() {
    assertThat(memory.tryReserve(0, 3 * LARGE_BYTES)).isTrue();
    assertThat(memory.tryReserve(0, LARGE_BYTES)).isFalse();

    memory.release(LARGE_BYTES);

    assertThat(memory.tryReserve(0, LARGE_BYTES)).isTrue();
  }
}
