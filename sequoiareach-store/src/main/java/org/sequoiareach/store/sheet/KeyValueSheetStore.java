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
 * Keeps the sheet in the key-value service as a manifest and one section an organisation. Immutable
 * and thread-safe.
 *
 * <p>Sections are immutable, as their keys carry their digests. A version comes into force by the
 * one write of its manifest, under compare on the revision of the manifest before it, so a reader
 * that follows one manifest can't mix two versions.
 */
public final class KeyValueSheetStore implements SheetStore {

  private final KeyValueService keyValues;
  private final Clock clock;
  private final LongSupplier monotonicClock;

  /**
   * Creates a store that uses the system's clock.
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
   * @param clock tells the day of an export and when sections went out of use
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
    return new SheetRead(keyValues, known, deadlineMs).run().toFuture();
  }

  @Override
  public CompletableFuture<Long> export(Sheet sheet, long baseVersion, long deadlineMs) {
    Check.notNull(sheet, "sheet");
    Check.inRange(baseVersion, 0, Long.MAX_VALUE, "baseVersion");
    return new SheetExport(keyValues, clock, monotonicClock, sheet, baseVersion, deadlineMs)
        .run()
        .toFuture();
  }

  /**
   * Reads the planned costs of recent days.
   *
   * @param deadlineMs when to give up
   * @return the history; empty where none is kept or it is not readable
   */
  public CompletableFuture<SheetHistory> findHistory(long deadlineMs) {
    return keyValues.find(SheetKeys.HISTORY, deadlineMs).thenApply(SheetExport::history);
  }

  @Override
  public CompletableFuture<Void> awaitChange(long knownVersion, long deadlineMs) {
    return keyValues
        .find(SheetKeys.MANIFEST, deadlineMs)
        .thenCompose(found -> watchUnlessChanged(found, knownVersion, deadlineMs));
  }

  private CompletableFuture<Void> watchUnlessChanged(
      Optional<KeyValueEntry> found, long knownVersion, long deadlineMs) {
    long version = found.map(SheetRead::parse).map(SheetManifest::version).orElse(0L);
    if (version != knownVersion) {
      return CompletableFuture.completedFuture(null);
    }
    // Without a manifest the watch starts at the first revision, as it has never been written.
    long after = found.map(KeyValueEntry::modRevision).orElse(0L);
    return keyValues.watch(SheetKeys.MANIFEST, after, deadlineMs).thenAccept(changed -> {});
  }
}
