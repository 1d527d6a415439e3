package org.sequoiareach.decision.follow;

/**
 * How a daemon accesses the store.
 *
 * @param mode whether it reads and watches
 * @param pollMs how long a watch waits for changes, in milliseconds; 0 unless it watches
 * @param patienceMs how late the answer to a watch may be if the store usually answers at once, in
 *     milliseconds; 0 unless it watches
 */
public record StoreAccess(Mode mode, long pollMs, long patienceMs) {

  /** Whether a daemon reads and watches. */
  public enum Mode {
    /** It reads everything and watches for changes until told otherwise. */
    WATCH,
    /** It reads everything once. */
    READ_ONCE,
    /** It leaves the store alone and relies on other daemons. */
    FOLLOW
  }

  static StoreAccess watch(long pollMs, long patienceMs) {
    return new StoreAccess(Mode.WATCH, pollMs, patienceMs);
  }

  static StoreAccess readOnce() {
    return new StoreAccess(Mode.READ_ONCE, 0, 0);
  }

  static StoreAccess follow() {
    return new StoreAccess(Mode.FOLLOW, 0, 0);
  }
}
