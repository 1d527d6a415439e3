package org.sequoiareach.decision.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue with a virtual clock that does not advance while a task runs. */
public final class VirtualClock {

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long nowMs = 1_000;
  private long scheduled;

  /**
   * Returns the current virtual time.
   *
   * @return the time in milliseconds
   */
  public long nowMs() {
    return nowMs;
  }

  /**
   * Schedules a task.
   *
   * @param delayMs the delay in milliseconds
   * @param action the task
   */
  public void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  /**
   * Schedules a task.
   *
   * @param atMs the time in milliseconds; now if it has passed
   * @param action the task
   */
  public void at(long atMs, Runnable action) {
    tasks.add(new Task(Math.max(atMs, nowMs), scheduled++, action));
  }

  /**
   * Runs the tasks up to a time.
   *
   * @param untilMs the time in milliseconds
   */
  public void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
      Task next = tasks.poll();
      nowMs = next.atMs;
      next.action.run();
    }
    nowMs = untilMs;
  }

  private record Task(long atMs, long number, Runnable action) {}
}
