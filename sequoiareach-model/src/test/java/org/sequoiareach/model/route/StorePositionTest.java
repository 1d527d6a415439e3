package org.sequoiareach.model.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that positions keep their parts and are ordered by era, then by revision. */
class StorePositionTest {

  private static final long MAX_REVISION = (1L << 42) - 1;

  @Property
  void ordersByEraThenRevision(
      @ForAll @IntRange(max = 2_000_000) int era,
      @ForAll @LongRange(max = MAX_REVISION) long revision,
      @ForAll @LongRange(max = MAX_REVISION) long other) {
    long position = StorePosition.of(era, revision);

    assertThat(StorePosition.eraOf(position)).isEqualTo(era);
    assertThat(StorePosition.revisionOf(position)).isEqualTo(revision);
    assertThat(StorePosition.of(era + 1L, other)).isGreaterThan(position);
    assertThat(Long.compare(StorePosition.of(era, other), position))
        .isEqualTo(Long.compare(other, revision));
  }

  @ParameterizedTest
  @CsvSource({"-1, 0", "0, -1", "0, 4398046511104", "2097152, 0"})
  void rejectsNumbersOutOfRange(long era, long revision) {
    assertThatThrownBy(() -> StorePosition.of(era, revision))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
