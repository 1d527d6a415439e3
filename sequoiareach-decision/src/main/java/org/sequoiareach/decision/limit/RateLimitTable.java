package org.sequoiareach.decision.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.StatedRate;
import org.sequoiareach.model.route.TargetRateLimit;

/**
 * Table of the rate limits that targets state, from the answers that this daemon received and from
 * those that other daemons report.
 *
 * <p>A stricter limit is accepted from any answer. A looser one, or the end of a limit, is accepted
 * only if it is certainly newer than what is known, because answers overtake each other. The end of
 * a limit is kept for a while, so that outdated reports do not restore it. Not thread-safe:
 * confined to the control thread.
 */
public final class RateLimitTable {

  /** How long the end of a limit is remembered; much longer than a report takes to spread. */
  static final long ENDED_RETENTION_MS = 10_000;

  /** The time a report may spend in transit, by which its observation appears too recent. */
  static final long REPORT_DELAY_MS = 200;

  private final Map<String, TargetRateLimit> limits = new HashMap<>();

  /**
   * Records what an answer states.
   *
   * @param nowMs when the answer was received
   * @param target the target that answered
   * @param rate what its answer states
   * @param sentAtMs when the answered request was sent
   * @return the new knowledge if it changes the limit; empty otherwise
   */
  public Optional<TargetRateLimit> observe(
      long nowMs, RoutedTarget target, StatedRate rate, long sentAtMs) {
    Check.notNull(target, "target");
    if (rate.present() && rate.perSecond().isEmpty()) {
      return Optional.empty();
    }
    Optional<TargetRateLimit> known = find(target.id());
    TargetRateLimit observed =
        new TargetRateLimit(target.id(), target.incarnation(), rate.perSecond(), nowMs);
    boolean knownInForce = known.filter(TargetRateLimit::isInForce).isPresent();
    if (!rate.present() && !knownInForce) {
      return Optional.empty();
    }
    if (known.isEmpty()) {
      return store(observed);
    }
    if (known.get().incarnation() > target.incarnation()) {
      return Optional.empty();
    }
    boolean sameIncarnation = known.get().incarnation() == target.incarnation();
    boolean overtaken = sentAtMs <= known.get().observedAtMs();
    if (sameIncarnation && overtaken && observed.isLooserThan(known.get())) {
      return Optional.empty();
    }
    return store(observed);
  }

  /**
   * Merges the knowledge of another daemon.
   *
   * @param told the knowledge, with its time converted to the local clock
   * @return the new knowledge if it changes the limit; empty otherwise
   */
  public Optional<TargetRateLimit> merge(TargetRateLimit told) {
    Optional<TargetRateLimit> known = find(told.targetId());
    if (known.isEmpty()) {
      return told.isInForce() ? store(told) : Optional.empty();
    }
    if (told.incarnation() != known.get().incarnation()) {
      return told.incarnation() > known.get().incarnation() ? store(told) : Optional.empty();
    }
    long marginMs = told.isLooserThan(known.get()) ? REPORT_DELAY_MS : 0;
    return told.observedAtMs() > known.get().observedAtMs() + marginMs
        ? store(told)
        : Optional.empty();
  }

  /**
   * Finds the limit that one incarnation of a target states.
   *
   * @param target the target
   * @return the limit in force; empty if there is none
   */
  public Optional<TargetRateLimit> findInForce(RoutedTarget target) {
    return find(target.id())
        .filter(limit -> limit.isInForce() && limit.incarnation() == target.incarnation());
  }

  /**
   * Returns whether a limit of a target is in force or was until recently.
   *
   * @param targetId the identity of the target
   * @return true if its answers should be observed
   */
  public boolean contains(String targetId) {
    return limits.containsKey(targetId);
  }

  /**
   * Returns all limits in force and those that ended recently.
   *
   * @return the limits
   */
  public List<TargetRateLimit> all() {
    return new ArrayList<>(limits.values());
  }

  /**
   * Discards the limits of targets that are not retained, and those that ended long ago.
   *
   * @param nowMs the current time
   * @param listed selects the targets to retain
   */
  public void retain(long nowMs, Predicate<String> listed) {
    limits
        .values()
        .removeIf(
            limit ->
                !listed.test(limit.targetId())
                    || !limit.isInForce() && nowMs - limit.observedAtMs() > ENDED_RETENTION_MS);
  }

  private Optional<TargetRateLimit> find(String targetId) {
    return Optional.ofNullable(limits.get(targetId));
  }

  /** Stores the knowledge and returns it if the rate or the incarnation differs from before. */
  private Optional<TargetRateLimit> store(TargetRateLimit limit) {
    TargetRateLimit before = limits.put(limit.targetId(), limit);
    boolean changed =
        before == null
            || before.incarnation() != limit.incarnation()
            || !before.perSecond().equals(limit.perSecond());
    return changed ? Optional.of(limit) : Optional.empty();
  }
}
