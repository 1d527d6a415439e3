package org.sequoiareach.store.prefix;

/** Reports that a store gave no usable answer. */
public final class PrefixStoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The kinds of failure. */
  public enum Kind {
    /** The history since the revision asked for is gone; the keys must be read anew. */
    HISTORY_GONE,
    /** The store is away, turns the daemon away, or its answer cannot be read. */
    UNAVAILABLE
  }

  private final Kind kind;

  /**
   * Creates the exception.
   *
   * @param kind the kind of failure
   * @param message a sentence that names the call and what happened
   * @param cause the cause, or null
   */
  public PrefixStoreException(Kind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /**
   * Returns the kind of failure.
   *
   * @return the kind
   */
  public Kind kind() {
    return kind;
  }
}
