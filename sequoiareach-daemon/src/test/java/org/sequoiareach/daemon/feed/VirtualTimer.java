package org.sequoiareach.daemon.feed;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks in virtual time, one after the other in the order of their time. */
final class VirtualTimer extends AbstractExecutorService implements ScheduledExecutorService {

  private record Task(long atMs, long number, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private long nowMs;
  private long number;

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable action) {
    tasks.add(new Task(Math.max(nowMs, atMs), number++, action));
  }

  void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
      Task next = tasks.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    nowMs = untilMs;
  }

  @Override
  public void execute(Runnable action) {
    at(nowMs, action);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
    at(nowMs + unit.toMillis(delay), action);
    return null;
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> action, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable action, long initialDelay, long period, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable action, long initialDelay, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void shutdown() {
    tasks.clear();
  }

  @Override
  public List<Runnable> shutdownNow() {
    tasks.clear();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return true;
  }
}
