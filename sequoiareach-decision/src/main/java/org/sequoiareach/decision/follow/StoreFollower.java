package org.sequoiareach.decision.follow;

import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.sequoiareach.decision.follow.StoreAccess.Mode;
import org.sequoiareach.model.Check;

/**
 * Decides when a daemon watches the store, reads it once or relies on the readings of others.
 *
 * <p>In a small fleet all daemons watch. In a larger one only its readers do, and any other daemon
 * reads once whenever its last confirmation is too old; the moments of these reads are drawn, so
 * that a crowd that loses its readers does not read at once, and the first that succeed save the
 * others the reading. Not thread-safe.
 */
public final class StoreFollower {

  /** The fleet size up to which every daemon watches; more would save few calls. */
  public static final int MAX_WATCHING_FLEET = 8;

  /** The time after the start in which a daemon learns of the fleet before it watches. */
  static final long STARTUP_MS = 3_000;

  /** The pause after the first failed read, which is doubled after each further one. */
  private static final long INITIAL_BACKOFF_MS = 100;

  /** The longest pause after a failed read of a small fleet. */
  private static final long SMALL_FLEET_MAX_BACKOFF_MS = 400;

  /** The part of the longest pause that each daemon of a large fleet adds, in milliseconds. */
  private static final long BACKOFF_PER_DAEMON_MS = 20;

  private static final long NONE = Long.MAX_VALUE;

  private final FollowSettings settings;
  private final LongUnaryOperator random;
  private Optional<StoreAccess> current = Optional.empty();
  private boolean largeFleet;
  private long startedMs = NONE;
  private long nextReadMs = NONE;
  private long backoffMs = INITIAL_BACKOFF_MS;

  /**
   * Creates a follower.
   *
   * @param settings the times of following
   * @param random draws a number between 0 and a bound, both inclusive
   */
  public StoreFollower(FollowSettings settings, LongUnaryOperator random) {
    this.settings = Check.notNull(settings, "settings");
    this.random = Check.notNull(random, "random");
  }

  /**
   * The situation of the daemon.
   *
   * @param fleetSize the number of live daemons that are known, including this one
   * @param reader whether this daemon is a reader
   * @param confirmedMs the time up to which its holdings are confirmed
   */
  public record Situation(int fleetSize, boolean reader, long confirmedMs) {}

  /**
   * Decides on the access to the store.
   *
   * @param nowMs the current time
   * @param situation the situation
   * @return the new access; empty if it stays as it is
   */
  public Optional<StoreAccess> decide(long nowMs, Situation situation) {
    if (startedMs == NONE) {
      // The daemon reads the store as it starts; this is the pause before the next attempt.
      startedMs = nowMs;
      nextReadMs = nowMs + drawBackoff(situation);
    }
    largeFleet = situation.fleetSize() > MAX_WATCHING_FLEET;
    boolean fleetKnown = situation.fleetSize() == 1 || nowMs - startedMs >= STARTUP_MS;
    if (!fleetKnown || largeFleet && !situation.reader()) {
      return follow(nowMs, situation);
    }
    return watch(largeFleet ? settings.readerPollMs() : settings.smallFleetPollMs());
  }

  /**
   * Returns whether the daemon watches the store.
   *
   * @return true if it does
   */
  public boolean isWatching() {
    return current.filter(access -> access.mode() == Mode.WATCH).isPresent();
  }

  /**
   * Returns whether the daemon relies on the readers of a large fleet.
   *
   * @return true if it learns of changes from other daemons
   */
  public boolean reliesOnReaders() {
    return largeFleet && !isWatching();
  }

  /**
   * Returns whether the holdings of the daemon are confirmed by a reading young enough.
   *
   * @param nowMs the current time
   * @param confirmedMs the time up to which they are confirmed
   * @return true if the daemon need not read the store for itself
   */
  public boolean isConfirmed(long nowMs, long confirmedMs) {
    return nowMs - confirmedMs <= settings.maxAgeMs();
  }

  private Optional<StoreAccess> watch(long pollMs) {
    nextReadMs = NONE;
    backoffMs = INITIAL_BACKOFF_MS;
    return change(StoreAccess.watch(pollMs, settings.patienceMs()));
  }

  private Optional<StoreAccess> follow(long nowMs, Situation situation) {
    if (isConfirmed(nowMs, situation.confirmedMs())) {
      nextReadMs = NONE;
      backoffMs = INITIAL_BACKOFF_MS;
      return change(StoreAccess.follow());
    }
    if (nextReadMs == NONE) {
      nextReadMs = nowMs + random.applyAsLong(settings.spreadMs());
    }
    if (nowMs < nextReadMs) {
      return isWatching() ? change(StoreAccess.follow()) : Optional.empty();
    }
    nextReadMs = nowMs + drawBackoff(situation);
    current = Optional.of(StoreAccess.readOnce());
    return current;
  }

  /** Returns the pause before the next read if this one fails. */
  private long drawBackoff(Situation situation) {
    long maxMs =
        situation.fleetSize() <= MAX_WATCHING_FLEET
            ? SMALL_FLEET_MAX_BACKOFF_MS
            : Math.min(
                settings.maxBackoffMs(), BACKOFF_PER_DAEMON_MS * (long) situation.fleetSize());
    long pauseMs = Math.min(backoffMs, maxMs);
    backoffMs = Math.min(2 * backoffMs, maxMs);
    return pauseMs / 2 + random.applyAsLong(pauseMs - pauseMs / 2);
  }

  private Optional<StoreAccess> change(StoreAccess access) {
    if (current.equals(Optional.of(access))) {
      return Optional.empty();
    }
    current = Optional.of(access);
    return current;
  }
}
