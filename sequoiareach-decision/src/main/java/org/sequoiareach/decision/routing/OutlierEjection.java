package org.sequoiareach.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.sequoiareach.decision.placement.LoadHint;
import org.sequoiareach.model.Check;

/**
 * Excludes targets that fail repeatedly or whose time between tokens is far above that of their
 * siblings.
 *
 * <p>The maximum duration of an ejection doubles each time. The actual duration is drawn from the
 * upper half of the range, so that daemons do not return to a target simultaneously. After an
 * ejection by failures, one more failure ejects the target again; a success resets the failure
 * count, and every {@value #SUCCESSES_PER_BACKOFF_STEP} consecutive successes undo one doubling.
 *
 * <p>Only a fraction of the candidates of a request is ever excluded, those with the latest end of
 * ejection first. If all targets look unhealthy, most of them are therefore still tried.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class OutlierEjection {

  private static final int SUCCESSES_PER_BACKOFF_STEP = 50;
  private static final int MAX_DOUBLINGS = 16;

  /** A rate is better evidence than a few consecutive failures, so it ejects for longer. */
  private static final int MIN_DOUBLINGS_BY_RATE = 2;

  private static final long MAX_HINT_AGE_MS = 3_000;
  private static final int MIN_RUNNING = 1;

  private final EjectionSettings settings;
  private final Map<String, TargetHistory> histories = new HashMap<>();

  /**
   * Creates an instance without any ejected targets.
   *
   * @param settings the settings
   */
  public OutlierEjection(EjectionSettings settings) {
    this.settings = Check.notNull(settings, "settings");
  }

  /**
   * Records a successful attempt.
   *
   * @param targetId the target
   */
  public void recordSuccess(String targetId) {
    TargetHistory history = histories.get(targetId);
    if (history == null) {
      return;
    }
    history.failures = 0;
    history.successes++;
    if (history.successes >= SUCCESSES_PER_BACKOFF_STEP) {
      history.successes = 0;
      history.ejections = Math.max(0, history.ejections - 1);
    }
  }

  /**
   * Records a failure caused by the target.
   *
   * @param nowMs the current time
   * @param targetId the target
   * @param draw a random number for the duration of an ejection
   * @return whether this failure ejected the target
   */
  public boolean recordFailure(long nowMs, String targetId, long draw) {
    TargetHistory history = histories.computeIfAbsent(targetId, id -> new TargetHistory());
    history.successes = 0;
    history.failures++;
    if (history.failures < settings.failuresToEject() || nowMs < history.ejectedUntilMs) {
      return false;
    }
    eject(nowMs, history, draw);
    // A single failure after the target returns ejects it again.
    history.failures = settings.failuresToEject() - 1;
    return true;
  }

  /**
   * Ejects a target because it fails more often than others. If it is ejected already, the ejection
   * is extended, so that daemons whose ejections end later do not each try it again.
   *
   * @param nowMs the current time
   * @param targetId the target
   * @param draw a random number for the duration of the ejection
   * @return whether the target was not ejected before
   */
  public boolean ejectForFailures(long nowMs, String targetId, long draw) {
    TargetHistory history = histories.computeIfAbsent(targetId, id -> new TargetHistory());
    if (nowMs < history.ejectedUntilMs) {
      long extendedMs = nowMs + drawDurationMs(history.ejections - 1, draw);
      history.ejectedUntilMs = Math.max(history.ejectedUntilMs, extendedMs);
      return false;
    }
    history.ejections = Math.max(history.ejections, MIN_DOUBLINGS_BY_RATE);
    eject(nowMs, history, draw);
    return true;
  }

  /**
   * Compares the time between tokens of the targets of one model and ejects those that are slow for
   * too long. Called periodically.
   *
   * @param nowMs the current time
   * @param siblings the targets of the model
   * @param draw a random number for the duration of an ejection
   * @return the targets ejected by this call
   */
  public List<String> ejectSlowTargets(long nowMs, List<TargetView> siblings, long draw) {
    double limit = settings.slowFactor() * medianGapMs(siblings);
    List<String> ejected = new ArrayList<>();
    for (TargetView view : siblings) {
      boolean slow = limit > 0 && gapMs(view) > limit;
      if (slow && isSlowForTooLong(nowMs, view.targetId())) {
        TargetHistory history = histories.get(view.targetId());
        eject(nowMs, history, draw + ejected.size());
        ejected.add(view.targetId());
      } else if (!slow && histories.containsKey(view.targetId())) {
        histories.get(view.targetId()).slowSinceMs = Long.MAX_VALUE;
      }
    }
    return ejected;
  }

  /**
   * Removes ejected candidates, up to the maximum fraction.
   *
   * @param nowMs the current time
   * @param candidates the candidates of a request
   * @return the remaining candidates in their original order; empty only if there were none
   */
  public List<TargetView> filter(long nowMs, List<TargetView> candidates) {
    List<String> ejected =
        candidates.stream().map(TargetView::targetId).filter(id -> isEjected(nowMs, id)).toList();
    int maxExcluded = (int) (candidates.size() * settings.maxEjectedFraction());
    if (ejected.isEmpty() || maxExcluded == 0) {
      return candidates;
    }
    Set<String> excluded = new HashSet<>();
    ejected.stream()
        .sorted(Comparator.<String>comparingLong(id -> -histories.get(id).ejectedUntilMs))
        .limit(maxExcluded)
        .forEach(excluded::add);
    return candidates.stream().filter(view -> !excluded.contains(view.targetId())).toList();
  }

  /**
   * Returns whether a target is currently ejected. {@link #filter} may still keep it because of the
   * maximum fraction.
   *
   * @param nowMs the current time
   * @param targetId the target
   * @return whether the target is ejected
   */
  public boolean isEjected(long nowMs, String targetId) {
    TargetHistory history = histories.get(targetId);
    return history != null && nowMs < history.ejectedUntilMs;
  }

  /**
   * Discards the state of targets that are not retained.
   *
   * @param listed selects the targets to retain
   */
  public void retain(Predicate<String> listed) {
    histories.keySet().removeIf(listed.negate());
  }

  private void eject(long nowMs, TargetHistory history, long draw) {
    history.ejectedUntilMs = nowMs + drawDurationMs(history.ejections, draw);
    history.ejections++;
    history.slowSinceMs = Long.MAX_VALUE;
  }

  private long drawDurationMs(int doublings, long draw) {
    long doubled = settings.firstEjectionMs() << Math.max(0, Math.min(MAX_DOUBLINGS, doublings));
    long longest = Math.min(settings.longestEjectionMs(), doubled);
    return Backoff.uniformBetween(longest / 2, longest, draw);
  }

  /**
   * Starts or continues the slow period of a target and returns whether it has lasted long enough.
   */
  private boolean isSlowForTooLong(long nowMs, String targetId) {
    TargetHistory history = histories.computeIfAbsent(targetId, id -> new TargetHistory());
    if (nowMs < history.ejectedUntilMs) {
      return false;
    }
    history.slowSinceMs = Math.min(history.slowSinceMs, nowMs);
    return nowMs - history.slowSinceMs >= settings.slowForMs();
  }

  /**
   * Returns the lower median of the known times between tokens, or 0 if fewer than two are known.
   */
  private static double medianGapMs(List<TargetView> siblings) {
    double[] gaps =
        siblings.stream()
            .mapToDouble(OutlierEjection::gapMs)
            .filter(gap -> gap > 0)
            .sorted()
            .toArray();
    return gaps.length < 2 ? 0 : gaps[(gaps.length - 1) / 2];
  }

  /**
   * Returns the time between tokens in milliseconds, or 0 if there is no recent hint with running
   * attempts.
   */
  private static double gapMs(TargetView view) {
    boolean fresh =
        view.hintAgeMs() <= MAX_HINT_AGE_MS
            && view.hint().filter(hint -> hint.running() >= MIN_RUNNING).isPresent();
    return fresh ? view.hint().map(LoadHint::tokenGapMs).orElse(0.0) : 0;
  }

  private static final class TargetHistory {
    private int failures;
    private int successes;
    private int ejections;
    private long ejectedUntilMs = Long.MIN_VALUE;
    private long slowSinceMs = Long.MAX_VALUE;
  }
}
