package org.sequoiareach.decision.maintenance;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Registry of the targets that are cold, by target and incarnation, each with the end of its
 * warm-up, at which it expires by itself. Not thread-safe: confined to the control thread.
 */
public final class WarmUpRegistry {

  private final Map<String, WarmUp> warmUps = new HashMap<>();

  private record WarmUp(long incarnation, long untilMs, OptionalLong entryMs) {}

  /**
   * Records the entry of a target. An unchanged entry that is listed again states nothing new.
   *
   * @param nowMs the current time
   * @param target the target as its entry describes it
   * @param written whether the entry was written just now, rather than listed
   * @param startMs how long the target is cold if its entry does not state it, in milliseconds
   */
  public void recordEntry(long nowMs, RoutedTarget target, boolean written, long startMs) {
    WarmUp known = warmUps.get(target.id());
    boolean sameIncarnation = known != null && known.incarnation == target.incarnation();
    boolean unchanged = sameIncarnation && known.entryMs.equals(target.coldMs());
    boolean unstated = target.coldMs().isEmpty() && sameIncarnation;
    if (unchanged && !written || unstated) {
      return;
    }
    long coldMs = target.coldMs().orElse(startMs);
    warmUps.put(target.id(), new WarmUp(target.incarnation(), nowMs + coldMs, target.coldMs()));
  }

  /**
   * Records what a target states itself, which replaces what was known of this incarnation.
   *
   * @param nowMs the current time
   * @param target the target in the incarnation that states it
   * @param coldMs how long it stays cold, in milliseconds; 0 if it is not cold
   */
  public void recordStatement(long nowMs, RoutedTarget target, long coldMs) {
    WarmUp known = warmUps.get(target.id());
    if (known != null && known.incarnation > target.incarnation()) {
      return;
    }
    OptionalLong entryMs = known == null ? target.coldMs() : known.entryMs;
    warmUps.put(target.id(), new WarmUp(target.incarnation(), nowMs + coldMs, entryMs));
  }

  /**
   * Merges the knowledge of another daemon; the later end is kept, as the order is not known.
   *
   * @param targetId the identity of the target
   * @param incarnation its incarnation
   * @param untilMs until when the other daemon knows it to be cold, in milliseconds
   */
  public void merge(String targetId, long incarnation, long untilMs) {
    WarmUp known = warmUps.get(targetId);
    if (known == null || known.incarnation < incarnation) {
      warmUps.put(targetId, new WarmUp(incarnation, untilMs, OptionalLong.empty()));
    } else if (known.incarnation == incarnation && known.untilMs < untilMs) {
      warmUps.put(targetId, new WarmUp(incarnation, untilMs, known.entryMs));
    }
  }

  /**
   * Returns the end of the warm-up of a target.
   *
   * @param nowMs the current time
   * @param target the target
   * @return the time in milliseconds; empty if this incarnation is not known to be cold
   */
  public OptionalLong findEndMs(long nowMs, RoutedTarget target) {
    WarmUp known = warmUps.get(target.id());
    return known != null && known.untilMs > nowMs && known.incarnation == target.incarnation()
        ? OptionalLong.of(known.untilMs)
        : OptionalLong.empty();
  }

  /**
   * Returns the cold targets.
   *
   * @param nowMs the current time
   * @return the identities of the targets
   */
  public Set<String> cold(long nowMs) {
    return warmUps.entrySet().stream()
        .filter(entry -> entry.getValue().untilMs > nowMs)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Forgets the targets that are not retained.
   *
   * @param retained selects the targets to retain
   */
  public void retain(Predicate<String> retained) {
    warmUps.keySet().removeIf(retained.negate());
  }
}
