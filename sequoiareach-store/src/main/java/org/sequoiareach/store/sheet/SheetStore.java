package org.sequoiareach.store.sheet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.model.sheet.Sheet;

/** Store of the sheet and its versions. Implementations are thread-safe. */
public interface SheetStore {

  /**
   * Reads the current sheet.
   *
   * @param known the newest sheet known to the caller, whose unchanged sections are not read again
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the sheet, or empty if none was ever exported; fails with {@link
   *     org.sequoiareach.store.kv.KeyValueException}
   */
  CompletableFuture<Optional<Sheet>> findCurrent(Optional<Sheet> known, long deadlineMs);

  /**
   * Writes a sheet as the successor of the version that it is based on.
   *
   * <p>If the response is lost after the write took effect, a retry detects this by reading back.
   *
   * @param sheet the sheet; its own version is ignored
   * @param baseVersion the version that the sheet is based on; 0 for none
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future of the new version; fails with {@link SheetConflictException} if {@code
   *     baseVersion} is not the current version
   */
  CompletableFuture<Long> export(Sheet sheet, long baseVersion, long deadlineMs);

  /**
   * Waits until the current version differs from a known one, or the deadline passes.
   *
   * @param knownVersion the version known to the caller; 0 for none
   * @param deadlineMs the deadline, in milliseconds of {@code System.nanoTime()}
   * @return a future that is completed when the sheet should be read again
   */
  CompletableFuture<Void> awaitChange(long knownVersion, long deadlineMs);
}
