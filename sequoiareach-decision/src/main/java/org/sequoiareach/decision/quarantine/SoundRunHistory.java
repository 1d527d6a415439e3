package org.sequoiareach.decision.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;
import org.sequoiareach.model.quarantine.RequestTraits;

/**
 * The latest runs of this daemon that targets began to answer and survived. Bounded; not
 * thread-safe: confined to the control thread.
 */
public final class SoundRunHistory {

  static final int MAX_RUNS = 2_048;

  private final Deque<SoundRun> runs = new ArrayDeque<>();

  private record SoundRun(String service, long startedAtMs, RequestTraits traits) {}

  /**
   * Adds a run.
   *
   * @param service the service that ran it
   * @param startedAtMs when its answer started
   * @param traits its traits
   */
  public void add(String service, long startedAtMs, RequestTraits traits) {
    if (runs.size() >= MAX_RUNS) {
      runs.removeFirst();
    }
    runs.addLast(new SoundRun(service, startedAtMs, traits));
  }

  /** Discards all runs, because there is no crash to compare them with. */
  public void clear() {
    runs.clear();
  }

  /** Counts the runs with all of the given traits that started since a time. */
  long countWith(RequestTraits traits, long sinceMs) {
    return since(sinceMs).filter(run -> run.traits.containsAll(traits)).count();
  }

  /** Counts the runs of a service without all of the given traits that started since a time. */
  long countWithout(RequestTraits traits, String service, long sinceMs) {
    return since(sinceMs)
        .filter(run -> run.service.equals(service) && !run.traits.containsAll(traits))
        .count();
  }

  private Stream<SoundRun> since(long sinceMs) {
    return runs.stream().filter(run -> run.startedAtMs >= sinceMs);
  }
}
