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
 * Leaves out targets that fail in a row, or whose tokens come far slower than their siblings'.
 *
 * <p>A target is ejected for a time that doubles with every ejection and is drawn from half of it
 * to the whole, so that daemons do not return to it together. After that time one more failure
 * ejects it again; a success clears its failures, and {@value #FORGIVEN_AFTER} successes take back
 * one doubling. Of the candidates of a request only a share is ever left out, those with the
 * longest ejection first: on a bad day, when all look bad, most are tried all the same.
 *
 * <p>Not thread-safe: it belongs to the control thread.
 */
public final class OutlierEjection {

  private static final int FORGIVEN_AFTER = 50;
  private static final int MOST_DOUBLINGS = 16;
  private static final long OLDEST_HINT_MS = 3_000;
  private static final int LEAST_RUNNING = 1;

  private final EjectionSettings settings;
  private final Map<String, History> histories = new HashMap<>();

  /**
   * Creates an ejection that has seen nothing.
   *
   * @param settings the settings
   */
  public OutlierEjection(EjectionSettings settings) {
    this.settings = Check.notNull(settings, "settings");
  }

  /**
   * Records an attempt that the target has carried out.
   *
   * @param targetId the target
   */
  public void succeeded(String targetId) {
    History history = histories.get(targetId);
    if (history == null) {
      return;
    }
    history.failures = 0;
    history.successes++;
    if (history.successes >= FORGIVEN_AFTER) {
      history.successes = 0;
      history.ejections = Math.max(0, history.ejections - 1);
    }
  }

  /**
   * Records a failure that the target is to blame for.
   *
   * @param nowMs the time now
   * @param targetId the target
   * @param draw a number drawn at random
   * @return whether the target was ejected for it
   */
  public boolean failed(long nowMs, String targetId, long draw) {
    History history = histories.computeIfAbsent(targetId, id -> new History());
    history.successes = 0;
    history.failures++;
    if (history.failures < settings.failuresToEject() || nowMs < history.untilMs) {
      return false;
    }
    eject(nowMs, history, draw);
    // One failure after its return ejects it again.
    history.failures = settings.failuresToEject() - 1;
    return true;
  }

  /**
   * Judges the targets of one model by their time between tokens. Called at a steady period.
   *
   * @param nowMs the time now
   * @param siblings the targets of the model
   * @param draw a number drawn at random
   * @return the targets ejected
   */
  public List<String> judgeGaps(long nowMs, List<TargetView> siblings, long draw) {
    double limit = settings.slowFactor() * medianGapMs(siblings);
    List<String> ejected = new ArrayList<>();
    for (TargetView view : siblings) {
      boolean slow = limit > 0 && gapMs(view) > limit;
      if (slow && slowForLong(nowMs, view.targetId())) {
        History history = histories.get(view.targetId());
        eject(nowMs, history, draw + ejected.size());
        ejected.add(view.targetId());
      } else if (!slow && histories.containsKey(view.targetId())) {
        histories.get(view.targetId()).slowSinceMs = Long.MAX_VALUE;
      }
    }
    return ejected;
  }

  /**
   * Leaves out ejected candidates, but never more than the share allowed.
   *
   * @param nowMs the time now
   * @param candidates the candidates of a request
   * @return those that may be chosen, in the same order; empty only if there were none
   */
  public List<TargetView> filter(long nowMs, List<TargetView> candidates) {
    List<String> ejected =
        candidates.stream().map(TargetView::targetId).filter(id -> isEjected(nowMs, id)).toList();
    int most = (int) (candidates.size() * settings.mostEjectedShare());
    if (ejected.isEmpty() || most == 0) {
      return candidates;
    }
    Set<String> left = new HashSet<>();
    ejected.stream()
        .sorted(Comparator.<String>comparingLong(id -> -histories.get(id).untilMs))
        .limit(most)
        .forEach(left::add);
    return candidates.stream().filter(view -> !left.contains(view.targetId())).toList();
  }

  /**
   * Tells whether a target is ejected, floor aside.
   *
   * @param nowMs the time now
   * @param targetId the target
   * @return whether it is
   */
  public boolean isEjected(long nowMs, String targetId) {
    History history = histories.get(targetId);
    return history != null && nowMs < history.untilMs;
  }

  /**
   * Forgets targets.
   *
   * @param listed tells which targets to keep
   */
  public void retain(Predicate<String> listed) {
    histories.keySet().removeIf(listed.negate());
  }

  private void eject(long nowMs, History history, long draw) {
    long doubled = settings.firstEjectionMs() << Math.min(MOST_DOUBLINGS, history.ejections);
    long longest = Math.min(settings.longestEjectionMs(), doubled);
    history.untilMs = nowMs + Backoff.between(longest / 2, longest, draw);
    history.ejections++;
    history.slowSinceMs = Long.MAX_VALUE;
  }

  private boolean slowForLong(long nowMs, String targetId) {
    History history = histories.computeIfAbsent(targetId, id -> new History());
    if (nowMs < history.untilMs) {
      return false;
    }
    history.slowSinceMs = Math.min(history.slowSinceMs, nowMs);
    return nowMs - history.slowSinceMs >= settings.slowForMs();
  }

  /** Returns the lower median of the times between tokens that are known; 0 for fewer than two. */
  private static double medianGapMs(List<TargetView> siblings) {
    double[] gaps =
        siblings.stream()
            .mapToDouble(OutlierEjection::gapMs)
            .filter(gap -> gap > 0)
            .sorted()
            .toArray();
    return gaps.length < 2 ? 0 : gaps[(gaps.length - 1) / 2];
  }

  private static double gapMs(TargetView view) {
    boolean fresh =
        view.hintAgeMs() <= OLDEST_HINT_MS
            && view.hint().filter(hint -> hint.running() >= LEAST_RUNNING).isPresent();
    return fresh ? view.hint().map(LoadHint::tokenGapMs).orElse(0.0) : 0;
  }

  private static final class History {
    private int failures;
    private int successes;
    private int ejections;
    private long untilMs = Long.MIN_VALUE;
    private long slowSinceMs = Long.MAX_VALUE;
  }
}
