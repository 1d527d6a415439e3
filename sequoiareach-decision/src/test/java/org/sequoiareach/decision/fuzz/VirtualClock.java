package org.sequoiareach.decision.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue with a virtual clock that does not advance while a task runs. */
final class VirtualClock {

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long nowMs = 1_000;
  private long scheduled;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  void at(long atMs, Runnable action) {
    tasks.add(new Task(Math.max(atMs, nowMs), scheduled++, action));
  }

  void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
      Task next = tasks.poll();
      nowMs = next.atMs;
      next.action.run();
    }
    nowMs = untilMs;
  }

  private record Task(long atMs, long number, Runnable action) {}
}
