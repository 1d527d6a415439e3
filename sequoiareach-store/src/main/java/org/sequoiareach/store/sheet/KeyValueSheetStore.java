package org.sequoiareach.store.sheet;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.store.kv.KeyValueEntry;
import org.sequoiareach.store.kv.KeyValueService;
import org.sequoiareach.store.time.MonotonicClock;

/**
 * {@link SheetStore} that keeps the sheet in the key-value service as a manifest, a section of
 * models and services, and one section per organisation. Immutable and thread-safe.
 *
 * <p>Sections are content-addressed: their keys contain their digests, so they never change. A
 * version becomes current by a single compare-and-set of the manifest, conditional on the revision
 * of the previous manifest. A reader that resolves one manifest therefore never mixes two versions.
 */
public final class KeyValueSheetStore implements SheetStore {

  private final KeyValueService keyValues;
  private final Clock clock;
  private final LongSupplier monotonicClock;

  /**
   * Creates a store that uses the system clock.
   *
   * @param keyValues the key-value service
   */
  public KeyValueSheetStore(KeyValueService keyValues) {
    this(keyValues, Clock.systemUTC());
  }

  /**
   * Creates a store.
   *
   * @param keyValues the key-value service
   * @param clock the wall clock, for the day of an export and the age of unused sections
   */
  public KeyValueSheetStore(KeyValueService keyValues, Clock clock) {
    this(keyValues, clock, MonotonicClock::nowMs);
  }

  KeyValueSheetStore(KeyValueService keyValues, Clock clock, LongSupplier monotonicClock) {
    this.keyValues = Check.notNull(keyValues, "keyValues");
    this.clock = Check.notNull(clock, "clock");
    this.monotonicClock = monotonicClock;
  }

  @Override
  public CompletableFuture<Optional<Sheet>> findCurrent(Optional<Sheet> known, long deadlineMs) {
    return new StoredSheetReader(keyValues, known, deadlineMs).read().toFuture();
  }

  @Override
  public CompletableFuture<Long> export(Sheet sheet, long baseVersion, long deadlineMs) {
    Check.notNull(sheet, "sheet");
    Check.inRange(baseVersion, 0, Long.MAX_VALUE, "baseVersion");
    return new SheetExporter(keyValues, clock, monotonicClock, sheet, baseVersion, deadlineMs)
        .export()
        .toFuture();
  }

  /**
   * Reads the planned costs of recent days.
   *
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the history, which is empty if none is stored or it is unreadable
   */
  public CompletableFuture<SheetHistory> findHistory(long deadlineMs) {
    return keyValues.find(SheetKeys.HISTORY, deadlineMs).thenApply(SheetExporter::parseHistory);
  }

  @Override
  public CompletableFuture<Void> awaitChange(long knownVersion, long deadlineMs) {
    return keyValues
        .find(SheetKeys.MANIFEST, deadlineMs)
        .thenCompose(found -> watchUnlessChanged(found, knownVersion, deadlineMs));
  }

  private CompletableFuture<Void> watchUnlessChanged(
      Optional<KeyValueEntry> found, long knownVersion, long deadlineMs) {
    long version =
        found.map(StoredSheetReader::parseManifest).map(StoredSheetManifest::version).orElse(0L);
    if (version != knownVersion) {
      return CompletableFuture.completedFuture(null);
    }
    // The manifest has never been written, so the watch starts at the first revision.
    long afterRevision = found.map(KeyValueEntry::modRevision).orElse(0L);
    return keyValues.watch(SheetKeys.MANIFEST, afterRevision, deadlineMs).thenAccept(changed -> {});
  }
}
