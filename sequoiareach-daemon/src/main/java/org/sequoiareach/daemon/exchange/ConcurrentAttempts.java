package org.sequoiareach.daemon.exchange;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.sequoiareach.daemon.upstream.TargetConnection;

/**
 * Holds the latest attempt at a request and, while neither answers, a hedged one beside it.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConcurrentAttempts {

  private Optional<AttemptResponseHandler> current = Optional.empty();
  private Optional<AttemptResponseHandler> hedged = Optional.empty();

  /** Returns the latest attempt, which may have ended. */
  Optional<AttemptResponseHandler> current() {
    return current;
  }

  /** Makes an attempt the only one. A hedged attempt of the one before has failed by then. */
  void replace(AttemptResponseHandler next) {
    hedged.ifPresent(AttemptResponseHandler::abort);
    hedged = Optional.empty();
    current = Optional.of(next);
  }

  /** Adds a second attempt beside the current one. */
  void addHedged(AttemptResponseHandler second) {
    hedged = Optional.of(second);
  }

  /** Returns whether an attempt was neither superseded nor lost to another one. */
  boolean contains(AttemptResponseHandler attempt) {
    return current.filter(latest -> latest == attempt).isPresent()
        || hedged.filter(second -> second == attempt).isPresent();
  }

  /** Passes the latest attempt and the hedged one, which may have ended, to an action. */
  void forEach(Consumer<AttemptResponseHandler> action) {
    Stream.of(current, hedged).flatMap(Optional::stream).toList().forEach(action);
  }

  /** Returns the connection of the latest attempt. */
  Optional<TargetConnection> connection() {
    return current.flatMap(AttemptResponseHandler::connection);
  }

  /** Finds the other attempt that is in progress beside the given one. */
  Optional<AttemptResponseHandler> findRival(AttemptResponseHandler attempt) {
    boolean second = hedged.filter(other -> other == attempt).isPresent();
    return (second ? current : hedged).filter(rival -> !rival.isDone());
  }

  /**
   * Makes an attempt the only one, before it writes to the caller.
   *
   * @return whether another one was in progress and is aborted
   */
  boolean declareWinner(AttemptResponseHandler winner) {
    if (hedged.isEmpty()) {
      return false;
    }
    Optional<AttemptResponseHandler> loser = findRival(winner);
    current = Optional.of(winner);
    hedged = Optional.empty();
    loser.ifPresent(AttemptResponseHandler::abort);
    return loser.isPresent();
  }

  /** Aborts the hedged attempt, if there is one. */
  void abortHedged() {
    hedged.ifPresent(AttemptResponseHandler::abort);
  }
}
