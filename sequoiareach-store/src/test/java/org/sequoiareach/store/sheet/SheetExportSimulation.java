package org.sequoiareach.store.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.kv.FakeKeyValueService;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates operators who export concurrently and readers, in virtual time. An oracle checks that
 * each version has one content and that versions never decrease.
 */
final class SheetExportSimulation {

  private static final int ORGANISATIONS = 5;
  private static final long TIMEOUT_MS = 8_000;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
  private final FakeKeyValueService store =
      new FakeKeyValueService(
          (delayMs, task) -> time.schedule(task, delayMs, TimeUnit.MILLISECONDS), this::nowMs);
  private final Map<Long, Integer> contentByVersion = new HashMap<>();
  private final List<Integer> refused = new ArrayList<>();
  private final List<CompletableFuture<?>> calls = new ArrayList<>();
  private final Map<Integer, Sheet> sheetByReader = new HashMap<>();
  private long wallClockOffsetMs;
  private int exports;
  private String violation = "";

  void setFaults(int lossPercent, int delayMs, long seed) {
    Random random = new Random(seed);
    store.setOutcomes(
        () ->
            new FakeKeyValueService.CallOutcome(
                random.nextInt(200) < lossPercent,
                random.nextInt(delayMs),
                random.nextInt(100) < lossPercent,
                random.nextInt(delayMs),
                random.nextInt(100) < lossPercent));
  }

  void advance(long ms) {
    time.advanceTimeBy(Duration.ofMillis(ms));
  }

  void advanceWallClock(int hours) {
    wallClockOffsetMs += Duration.ofHours(hours).toMillis();
  }

  /** Exports a sheet based on the version that an operator has read last. */
  void export(int operator) {
    exports++;
    int number = exports;
    long base = sheetByReader.containsKey(operator) ? sheetByReader.get(operator).version() : 0;
    Sheet sheet = SheetSamples.sheet(number, ORGANISATIONS);
    CompletableFuture<Long> call = sheets().export(sheet, base, nowMs() + TIMEOUT_MS);
    calls.add(call);
    call.whenComplete(
        (version, error) -> {
          if (error == null) {
            recordContent(version, number);
            check(
                version == base + 1,
                "export based on version " + base + " was stored as version " + version);
          } else if (error instanceof SheetConflictException) {
            refused.add(number);
          }
        });
  }

  void read(int reader) {
    long newestBefore = contentByVersion.keySet().stream().max(Long::compare).orElse(0L);
    Optional<Sheet> known = Optional.ofNullable(sheetByReader.get(reader));
    CompletableFuture<Optional<Sheet>> call = sheets().findCurrent(known, nowMs() + TIMEOUT_MS);
    calls.add(call);
    call.thenAccept(found -> onRead(reader, newestBefore, found));
  }

  private void onRead(int reader, long newestBefore, Optional<Sheet> found) {
    long version = found.map(Sheet::version).orElse(0L);
    check(version >= newestBefore, "read version " + version + " after version " + newestBefore);
    if (found.isEmpty()) {
      return;
    }
    Sheet sheet = found.get();
    int number = SheetSamples.numberOf(sheet);
    Sheet expected = SheetSamples.sheet(number, ORGANISATIONS).withVersion(version);
    check(sheet.equals(expected), "version " + version + " mixes several exports");
    recordContent(version, number);
    if (!sheetByReader.containsKey(reader) || sheetByReader.get(reader).version() < version) {
      sheetByReader.put(reader, sheet);
    }
  }

  private void recordContent(long version, int number) {
    Integer before = contentByVersion.putIfAbsent(version, number);
    check(before == null || before == number, "version " + version + " has two different contents");
  }

  private void check(boolean holds, String what) {
    if (!holds) {
      violation = what;
    }
  }

  /** Ends all faults, and checks that all calls complete and a sheet can be read and exported. */
  void recoverAndCheckSheet() {
    setFaults(0, 2, 1);
    advance(120_000);
    assertThat(calls).allMatch(CompletableFuture::isDone);
    read(0);
    advance(1_000);
    export(0);
    advance(1_000);
    assertThat(calls.get(calls.size() - 1)).isCompleted();
    assertThat(refused).doesNotContainAnyElementsOf(contentByVersion.values());
  }

  void assertNoViolation() {
    assertThat(violation).isEmpty();
  }

  private KeyValueSheetStore sheets() {
    Clock clock =
        Clock.fixed(Instant.EPOCH.plusMillis(nowMs() + wallClockOffsetMs), ZoneOffset.UTC);
    return new KeyValueSheetStore(store, clock, this::nowMs);
  }

  private long nowMs() {
    return time.now(TimeUnit.MILLISECONDS);
  }
}
