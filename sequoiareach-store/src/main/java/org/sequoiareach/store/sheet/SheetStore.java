package org.sequoiareach.store.sheet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.sheet.Sheet;

/** Reads and writes the sheet in force. Thread-safe. */
public interface SheetStore {

  /**
   * Reads the sheet in force.
   *
   * @param known the newest sheet already held, whose unchanged sections are not read again
   * @param deadlineMs when to give up, in milliseconds of {@code System.nanoTime()}
   * @return the sheet, or empty if none was ever exported; fails with {@link
   *     org.sequoiareach.store.kv.KeyValueException}
   */
  CompletableFuture<Optional<Sheet>> findCurrent(Optional<Sheet> known, long deadlineMs);

  /**
   * Writes a sheet as the successor of the version it was based on.
   *
   * <p>An answer lost after the write took effect is recognised when read back.
   *
   * @param sheet the sheet; its own version is ignored
   * @param baseVersion the version it was based on; 0 where there was none
   * @param deadlineMs when to give up
   * @return the version it has now; fails with {@link SheetConflictException} if another version is
   *     in force
   */
  CompletableFuture<Long> export(Sheet sheet, long baseVersion, long deadlineMs);

  /**
   * Waits until the version in force differs from a known one, or the deadline passes.
   *
   * @param knownVersion the version already held; 0 for none
   * @param deadlineMs when to give up
   * @return completed when it makes sense to read again
   */
  CompletableFuture<Void> awaitChange(long knownVersion, long deadlineMs);
}
