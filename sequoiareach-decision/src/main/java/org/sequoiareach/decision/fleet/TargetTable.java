package org.sequoiareach.decision.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Knows which targets may get work, from the store's list and from what targets show themselves.
 *
 * <p>A target that was seen leaving stays so for its incarnation. A target whose entry is removed
 * gets no more work, with one exception: entries lapse while the store is away and come back within
 * {@value #RETURN_MS} ms of its return, so removals around an outage take effect after that time. A
 * removal of half of a service or more within {@value #TOGETHER_MS} ms is taken for such a lapse.
 * Not thread-safe: it belongs to the control thread.
 */
public final class TargetTable {

  /** The time within which lapsed entries are back, by the platform's word, less a margin. */
  static final long RETURN_MS = 1_900;

  /** Removals that the same lapse causes are seen within this time of each other. */
  static final long TOGETHER_MS = 400;

  /** Long enough for late news of a target that has left. */
  private static final long KEPT_MS = 10_000;

  private final Map<String, RoutedTarget> targets = new LinkedHashMap<>();
  private final Map<String, Long> goneAtMs = new HashMap<>();
  private final Map<String, Long> removedAtMs = new HashMap<>();
  private final Set<String> goneReported = new HashSet<>();
  private final Set<String> leavingIncarnations = new HashSet<>();
  private boolean known;
  private boolean storeAway;
  private long storeReturnedMs = Long.MIN_VALUE / 2;
  private long revision;

  /** Describes what an update changed. */
  public record Change(List<RoutedTarget> leaving, List<RoutedTarget> replaced) {

    private static final Change NONE = new Change(List.of(), List.of());
  }

  /**
   * Tells whether any list has been seen.
   *
   * @return true if one has
   */
  public boolean isKnown() {
    return known;
  }

  /**
   * Returns the revision up to which the list is known.
   *
   * @return the store's revision; 0 before the first list
   */
  public long revision() {
    return revision;
  }

  /**
   * Records whether the store answers.
   *
   * @param nowMs the time now
   * @param reachable whether it does
   */
  public void storeSeen(long nowMs, boolean reachable) {
    if (reachable && storeAway) {
      storeReturnedMs = nowMs;
    }
    storeAway = !reachable;
  }

  /**
   * Tells whether the store was away when it was last asked.
   *
   * @return true if it was
   */
  public boolean isStoreAway() {
    return storeAway;
  }

  /**
   * Tells whether removals may be missed or mistaken: while the store is away, and until lapsed
   * entries must be back.
   *
   * @param nowMs the time now
   * @return true if the targets themselves know better than the list
   */
  public boolean isListInDoubt(long nowMs) {
    return storeAway || nowMs - storeReturnedMs < RETURN_MS;
  }

  /**
   * Replaces the list.
   *
   * @param nowMs the time now
   * @param atRevision the revision of the list
   * @param listed all targets
   * @return what it changed
   */
  public Change list(long nowMs, long atRevision, List<RoutedTarget> listed) {
    if (known && atRevision < revision) {
      return Change.NONE;
    }
    known = true;
    Set<String> ids = new HashSet<>();
    listed.forEach(target -> ids.add(target.id()));
    List<RoutedTarget> leaving = new ArrayList<>();
    List<RoutedTarget> replaced = new ArrayList<>();
    for (RoutedTarget target : listed) {
      Change change = put(nowMs, atRevision, target);
      leaving.addAll(change.leaving);
      replaced.addAll(change.replaced);
    }
    for (String id : List.copyOf(targets.keySet())) {
      if (!ids.contains(id)) {
        leaving.addAll(remove(nowMs, atRevision, id).leaving);
      }
    }
    return new Change(leaving, replaced);
  }

  /**
   * Adds or replaces a target.
   *
   * @param nowMs the time now
   * @param atRevision the revision of the entry
   * @param target the target
   * @return what it changed
   */
  public Change put(long nowMs, long atRevision, RoutedTarget target) {
    revision = Math.max(revision, atRevision);
    RoutedTarget before = targets.get(target.id());
    final boolean restarted = before != null && !before.isSameIncarnation(target);
    final boolean wasUsable = before != null && !isLeaving(before) && !isGone(before.id());
    if (target.leaving()) {
      leavingIncarnations.add(incarnationOf(target));
    }
    targets.put(target.id(), isLeaving(target) ? target.asLeaving() : target);
    goneAtMs.remove(target.id());
    goneReported.remove(target.id());
    removedAtMs.remove(target.id());
    List<RoutedTarget> leaving =
        isLeaving(target) && wasUsable && !restarted ? List.of(target) : List.of();
    return new Change(leaving, restarted ? List.of(before) : List.of());
  }

  /**
   * Removes a target.
   *
   * @param nowMs the time now
   * @param atRevision the revision of the removal
   * @param targetId the target
   * @return what it changed
   */
  public Change remove(long nowMs, long atRevision, String targetId) {
    revision = Math.max(revision, atRevision);
    RoutedTarget target = targets.get(targetId);
    if (target == null || isGone(targetId) || removedAtMs.containsKey(targetId)) {
      return Change.NONE;
    }
    removedAtMs.put(targetId, nowMs);
    if (isLapse(nowMs, target)) {
      goneAtMs.put(targetId, Math.max(nowMs, storeReturnedMs) + RETURN_MS);
      removedTogether(nowMs, target).forEach(this::awaitReturn);
      return Change.NONE;
    }
    goneAtMs.put(targetId, nowMs);
    goneReported.add(targetId);
    return isLeaving(target) ? Change.NONE : new Change(List.of(target), List.of());
  }

  /**
   * Records that a target itself says, or shows, that it is leaving.
   *
   * @param targetId the target
   * @return the target, if that is news
   */
  public Optional<RoutedTarget> leaves(String targetId) {
    RoutedTarget target = targets.get(targetId);
    if (target == null || isLeaving(target)) {
      return Optional.empty();
    }
    leavingIncarnations.add(incarnationOf(target));
    targets.put(targetId, target.asLeaving());
    return Optional.of(target);
  }

  /**
   * Forgets removed targets that no call needs, and takes those for gone whose time to return is
   * over.
   *
   * @param nowMs the time now
   * @param inUse tells which targets to keep
   * @return the targets that are gone from now on
   */
  public List<RoutedTarget> tick(long nowMs, Predicate<String> inUse) {
    List<RoutedTarget> gone = new ArrayList<>();
    for (RoutedTarget target : List.copyOf(targets.values())) {
      Long goneMs = goneAtMs.get(target.id());
      if (goneMs == null || goneMs > nowMs) {
        continue;
      }
      if (goneReported.add(target.id())) {
        gone.add(target);
      } else if (!inUse.test(target.id()) && nowMs - goneMs > KEPT_MS) {
        forget(target);
      }
    }
    return gone;
  }

  /**
   * Finds a target, leaving ones and removed ones that still have calls included.
   *
   * @param targetId the target
   * @return the target
   */
  public Optional<RoutedTarget> find(String targetId) {
    return Optional.ofNullable(targets.get(targetId));
  }

  /**
   * Returns the targets of a service that may get work.
   *
   * @param service the service
   * @param nowMs the time now
   * @return the targets, in the order in which they were first seen
   */
  public List<RoutedTarget> placeable(String service, long nowMs) {
    return targets.values().stream()
        .filter(target -> target.service().equals(service) && mayGetWork(target, nowMs))
        .toList();
  }

  /**
   * Tells whether a target may get work.
   *
   * @param targetId the target
   * @param nowMs the time now
   * @return true if it may
   */
  public boolean isPlaceable(String targetId, long nowMs) {
    return find(targetId).filter(target -> mayGetWork(target, nowMs)).isPresent();
  }

  /**
   * Returns the list as it stands, for another daemon that cannot read it.
   *
   * @return the targets whose entries are not removed
   */
  public List<RoutedTarget> listed() {
    return targets.values().stream()
        .filter(target -> !removedAtMs.containsKey(target.id()))
        .toList();
  }

  /**
   * Counts the targets whose entries are not removed.
   *
   * @return the count
   */
  public int listedCount() {
    return targets.size() - removedAtMs.size();
  }

  private boolean mayGetWork(RoutedTarget target, long nowMs) {
    boolean gone = goneAtMs.getOrDefault(target.id(), Long.MAX_VALUE) <= nowMs;
    return !gone && !isLeaving(target);
  }

  private boolean isLapse(long nowMs, RoutedTarget target) {
    if (isListInDoubt(nowMs)) {
      return true;
    }
    long all = siblings(target).filter(sibling -> !isLeaving(sibling)).count();
    long together = removedTogether(nowMs, target).count();
    return together > 1 && 2 * together >= all;
  }

  /** Returns the targets of a service whose entries were removed just now. */
  private Stream<RoutedTarget> removedTogether(long nowMs, RoutedTarget target) {
    return siblings(target)
        .filter(sibling -> !isLeaving(sibling) && removedAtMs.containsKey(sibling.id()))
        .filter(sibling -> nowMs - removedAtMs.get(sibling.id()) <= TOGETHER_MS);
  }

  /** Gives a target that was taken for gone at its removal the time to return. */
  private void awaitReturn(RoutedTarget target) {
    long backByMs = removedAtMs.get(target.id()) + RETURN_MS;
    goneAtMs.merge(target.id(), backByMs, Math::max);
  }

  private void forget(RoutedTarget target) {
    targets.remove(target.id());
    goneAtMs.remove(target.id());
    goneReported.remove(target.id());
    removedAtMs.remove(target.id());
    leavingIncarnations.remove(incarnationOf(target));
  }

  private Stream<RoutedTarget> siblings(RoutedTarget target) {
    return targets.values().stream().filter(other -> other.service().equals(target.service()));
  }

  private boolean isGone(String targetId) {
    return removedAtMs.containsKey(targetId);
  }

  private boolean isLeaving(RoutedTarget target) {
    return target.leaving() || leavingIncarnations.contains(incarnationOf(target));
  }

  private static String incarnationOf(RoutedTarget target) {
    return target.id() + "/" + target.incarnation();
  }
}
