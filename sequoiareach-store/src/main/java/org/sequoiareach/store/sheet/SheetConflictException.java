package org.sequoiareach.store.sheet;

/** Reports that a sheet was based on a version that is no longer in force. */
public final class SheetConflictException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param baseVersion the version the sheet was based on
   * @param currentVersion the version in force
   */
  public SheetConflictException(long baseVersion, long currentVersion) {
    super(
        "The sheet was based on version "
            + baseVersion
            + " but version "
            + currentVersion
            + " is in force; export again on top of it.");
  }
}
