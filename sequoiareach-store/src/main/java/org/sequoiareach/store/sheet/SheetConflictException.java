package org.sequoiareach.store.sheet;

/** Thrown when a sheet to export was based on a version other than the current one. */
public final class SheetConflictException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param baseVersion the version that the sheet was based on
   * @param currentVersion the current version; 0 if there is none
   */
  public SheetConflictException(long baseVersion, long currentVersion) {
    super(
        "The sheet is based on version "
            + baseVersion
            + ", but the current version is "
            + currentVersion
            + "; export it again based on the current version.");
  }
}
