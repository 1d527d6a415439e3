package org.sequoiareach.daemon.front;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections with much to decode take turns, one at a time, so that other connections are
 * served between two turns. Confined to the event loop.
 *
 * <p>Handles the load of many bodies in chunks of a few bytes, each of which costs an object.
 */
final class DecodeTurns {

  /** Decoded objects in one turn, well under a millisecond of processor time. */
  static final int OBJECTS_PER_TURN = 1_024;

  /** A timer, because the event loop runs a task that adds itself again before it reads sockets. */
  private static final long TURN_PERIOD_MS = 1;

  private final EventLoop loop;
  private final Deque<Runnable> waiting = new ArrayDeque<>();

  DecodeTurns(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs a turn after those that wait already. */
  void add(Runnable turn) {
    waiting.add(turn);
    if (waiting.size() == 1) {
      schedule();
    }
  }

  private void schedule() {
    loop.schedule(this::runNext, TURN_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void runNext() {
    Runnable turn = waiting.peek();
    try {
      turn.run();
    } finally {
      waiting.remove();
      if (!waiting.isEmpty()) {
        schedule();
      }
    }
  }
}
