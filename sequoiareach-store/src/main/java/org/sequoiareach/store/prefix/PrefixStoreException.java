package org.sequoiareach.store.prefix;

/** Thrown when a {@link PrefixStore} call fails or its response is not usable. */
public final class PrefixStoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Kind {
    /** The history since the requested revision was discarded; all keys must be read again. */
    HISTORY_GONE,
    /** The store is unreachable, rejects the call, or its response is unreadable. */
    UNAVAILABLE
  }

  private final Kind kind;

  /**
   * Creates the exception.
   *
   * @param kind the kind of failure
   * @param message a message that names the call and the failure
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
