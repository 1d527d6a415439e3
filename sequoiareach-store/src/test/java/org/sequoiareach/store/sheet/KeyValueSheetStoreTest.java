package org.sequoiareach.store.sheet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.kv.FakeKeyValueService;
import org.sequoiareach.store.kv.FakeKeyValueService.CallOutcome;
import org.sequoiareach.store.kv.KeyValueException;
import org.sequoiareach.store.time.MonotonicClock;

class KeyValueSheetStoreTest {

  private static final Instant MORNING = Instant.parse("2026-12-03T06:00:00Z");
  private static final int ORGANISATIONS = 3;

  private final FakeKeyValueService keyValues = FakeKeyValueService.immediate();

  @Test
  void noSheetIsFoundBeforeFirstExport() {
    assertThat(read(Optional.empty())).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3, 250, 3_000})
  void exportedSheetIsReadBackCompletely(int organisations) {
    Sheet sheet = SheetSamples.sheet(1, organisations);
    assertThat(export(sheet, 0, MORNING)).isEqualTo(1);
    assertThat(read(Optional.empty())).contains(sheet.withVersion(1));
  }

  @Test
  void onlyChangedSectionsAreRead() {
    export(SheetSamples.sheet(100, 200), 0, MORNING);
    Sheet known = read(Optional.empty()).orElseThrow();
    export(SheetSamples.sheet(101, 200), 1, MORNING);
    long before = keyValues.keysRead();
    assertThat(read(Optional.of(known))).contains(SheetSamples.sheet(101, 200).withVersion(2));
    // The models and the two organisations whose plans differ between samples 100 and 101.
    assertThat(keyValues.keysRead() - before).isEqualTo(3);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 2})
  void exportBasedOnOtherVersionIsRejected(long base) {
    export(SheetSamples.sheet(1, ORGANISATIONS), 0, MORNING);
    assertThatThrownBy(() -> export(SheetSamples.sheet(2, ORGANISATIONS), base, MORNING))
        .hasCauseInstanceOf(SheetConflictException.class);
  }

  static Stream<List<CallOutcome>> faults() {
    return Stream.of(
        List.of(CallOutcome.RESPONSE_LOST, CallOutcome.DOWN),
        List.of(CallOutcome.HEALTHY, CallOutcome.RESPONSE_LOST),
        List.of(CallOutcome.HEALTHY, CallOutcome.REQUEST_LOST),
        List.of(CallOutcome.HEALTHY, CallOutcome.DOWN),
        List.of(
            CallOutcome.HEALTHY,
            CallOutcome.RESPONSE_LOST,
            CallOutcome.REQUEST_LOST,
            CallOutcome.DOWN));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void exportSucceedsDespiteFaultsOfCalls(List<CallOutcome> faults) {
    setOutcomes(faults);
    Sheet sheet = SheetSamples.sheet(1, ORGANISATIONS);
    assertThat(export(sheet, 0, MORNING)).isEqualTo(1);
    assertThat(read(Optional.empty())).contains(sheet.withVersion(1));
  }

  @Test
  void unusedSectionsAreDeletedAfterRetentionTime() {
    export(SheetSamples.sheet(1, ORGANISATIONS), 0, MORNING);
    final int first = sectionCount();
    export(SheetSamples.sheet(2, ORGANISATIONS), 1, MORNING.plus(Duration.ofMinutes(1)));
    final int second = sectionCount();
    export(SheetSamples.sheet(2, ORGANISATIONS), 2, MORNING.plus(Duration.ofMinutes(62)));
    assertThat(second).isGreaterThan(first);
    assertThat(sectionCount()).isEqualTo(first);
    assertThat(read(Optional.empty()))
        .contains(SheetSamples.sheet(2, ORGANISATIONS).withVersion(3));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "null", "[]", "{}", "{\"version\":0}", "not json", "{\"version\":1e99}"})
  void unreadableManifestIsReportedWithItsKey(String manifest) {
    keyValues.corrupt(SheetKeys.MANIFEST, manifest);
    assertThatThrownBy(() -> read(Optional.empty()))
        .hasCauseInstanceOf(KeyValueException.class)
        .hasMessageContaining(SheetKeys.MANIFEST);
  }

  @Test
  void sectionThatDoesNotMatchItsDigestIsRejected() {
    export(SheetSamples.sheet(1, ORGANISATIONS), 0, MORNING);
    keyValues.entries().stream()
        .filter(entry -> entry.key().contains("/section/"))
        .forEach(entry -> keyValues.corrupt(entry.key(), "{}"));
    assertThatThrownBy(() -> read(Optional.empty())).hasMessageContaining("digest");
  }

  private int sectionCount() {
    return (int)
        keyValues.entries().stream().filter(entry -> entry.key().contains("/section/")).count();
  }

  private long export(Sheet sheet, long base, Instant now) {
    Clock clock = Clock.fixed(now, ZoneOffset.UTC);
    return new KeyValueSheetStore(keyValues, clock).export(sheet, base, deadlineMs()).join();
  }

  private Optional<Sheet> read(Optional<Sheet> known) {
    return new KeyValueSheetStore(keyValues).findCurrent(known, deadlineMs()).join();
  }

  private void setOutcomes(List<CallOutcome> faults) {
    Deque<CallOutcome> left = new ArrayDeque<>(faults);
    keyValues.setOutcomes(() -> left.isEmpty() ? CallOutcome.HEALTHY : left.remove());
  }

  private static long deadlineMs() {
    return MonotonicClock.nowMs() + 10_000;
  }
}
