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

/** Lets operators race and readers read in virtual time, and keeps an oracle of versions. */
final class SheetWorld {

  private static final int ORGANISATIONS = 5;
  private static final long PATIENCE_MS = 8_000;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
  private final FakeKeyValueService store =
      new FakeKeyValueService(
          (delayMs, task) -> time.schedule(task, delayMs, TimeUnit.MILLISECONDS), this::nowMs);
  private final Map<Long, Integer> numberByVersion = new HashMap<>();
  private final List<Integer> refused = new ArrayList<>();
  private final List<CompletableFuture<?>> calls = new ArrayList<>();
  private final Map<Integer, Sheet> held = new HashMap<>();
  private long skippedMs;
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

  void skipHours(int hours) {
    skippedMs += Duration.ofHours(hours).toMillis();
  }

  /** Exports on top of what an operator holds. */
  void export(int operator) {
    exports++;
    int number = exports;
    long base = held.containsKey(operator) ? held.get(operator).version() : 0;
    Sheet sheet = SheetSamples.sheet(number, ORGANISATIONS);
    CompletableFuture<Long> call = sheets().export(sheet, base, nowMs() + PATIENCE_MS);
    calls.add(call);
    call.whenComplete(
        (version, error) -> {
          if (error == null) {
            note(version, number);
            check(version == base + 1, "export on " + base + " became " + version);
          } else if (error instanceof SheetConflictException) {
            refused.add(number);
          }
        });
  }

  void read(int reader) {
    long newestBefore = numberByVersion.keySet().stream().max(Long::compare).orElse(0L);
    Optional<Sheet> known = Optional.ofNullable(held.get(reader));
    CompletableFuture<Optional<Sheet>> call = sheets().findCurrent(known, nowMs() + PATIENCE_MS);
    calls.add(call);
    call.thenAccept(found -> onRead(reader, newestBefore, found));
  }

  private void onRead(int reader, long newestBefore, Optional<Sheet> found) {
    long version = found.map(Sheet::version).orElse(0L);
    check(version >= newestBefore, "read " + version + " after " + newestBefore);
    if (found.isEmpty()) {
      return;
    }
    Sheet sheet = found.get();
    int number = SheetSamples.numberOf(sheet);
    Sheet whole = SheetSamples.sheet(number, ORGANISATIONS).withVersion(version);
    check(sheet.equals(whole), "version " + version + " is mixed");
    note(version, number);
    if (!held.containsKey(reader) || held.get(reader).version() < version) {
      held.put(reader, sheet);
    }
  }

  private void note(long version, int number) {
    Integer before = numberByVersion.putIfAbsent(version, number);
    check(before == null || before == number, "version " + version + " has two contents");
  }

  private void check(boolean holds, String what) {
    if (!holds) {
      violation = what;
    }
  }

  /** Ends all faults and checks that every call ended and the sheet can be read and replaced. */
  void finish() {
    setFaults(0, 2, 1);
    advance(120_000);
    assertThat(calls).allMatch(CompletableFuture::isDone);
    read(0);
    advance(1_000);
    export(0);
    advance(1_000);
    assertThat(calls.get(calls.size() - 1)).isCompleted();
    assertThat(refused).doesNotContainAnyElementsOf(numberByVersion.values());
  }

  void assertNoViolation() {
    assertThat(violation).isEmpty();
  }

  private KeyValueSheetStore sheets() {
    Clock clock = Clock.fixed(Instant.EPOCH.plusMillis(nowMs() + skippedMs), ZoneOffset.UTC);
    return new KeyValueSheetStore(store, clock, this::nowMs);
  }

  private long nowMs() {
    return time.now(TimeUnit.MILLISECONDS);
  }
}
