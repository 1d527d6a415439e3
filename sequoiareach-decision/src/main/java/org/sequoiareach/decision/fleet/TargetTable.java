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
 * Table of the known targets and their availability, based on the store's target list and on the
 * observed state of the targets themselves.
 *
 * <p>A target that was seen to be leaving remains leaving for its incarnation. A target whose entry
 * is removed becomes unavailable at once, with one exception: entries expire during a store outage
 * and are restored within {@value #RECOVERY_MS} ms after it, so removals around an outage take
 * effect only after that time. The removal of at least half of the targets of a service, and of
 * more than one, within {@value #CORRELATED_REMOVAL_MS} ms is treated as such an expiry even if no
 * outage was noticed.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class TargetTable {

  /** The time within which the platform restores expired entries, less a margin. */
  static final long RECOVERY_MS = 1_900;

  /** The time within which removals caused by the same outage are seen. */
  static final long CORRELATED_REMOVAL_MS = 400;

  /**
   * How long a removed target is kept, so that late events about it can be attributed and a store
   * that is restored from a copy of that age does not bring it back.
   */
  static final long RETENTION_MS = 60_000;

  private final Map<String, RoutedTarget> targets = new LinkedHashMap<>();
  private final Map<String, Long> goneAtMs = new HashMap<>();
  private final Map<String, Long> removedAtMs = new HashMap<>();
  private final Set<String> goneReported = new HashSet<>();
  private final Set<String> leavingIncarnations = new HashSet<>();
  private boolean listReceived;
  private boolean storeUnreachable;
  private long storeRecoveredMs = Long.MIN_VALUE / 2;
  private long revision;

  /**
   * The result of an update.
   *
   * @param leaving the targets that became leaving or were removed
   * @param replaced the earlier incarnations of targets that were restarted
   */
  public record Change(List<RoutedTarget> leaving, List<RoutedTarget> replaced) {

    private static final Change NONE = new Change(List.of(), List.of());
  }

  /**
   * Returns whether a target list was received.
   *
   * @return true if one was
   */
  public boolean hasList() {
    return listReceived;
  }

  /**
   * Returns the revision of the latest update that was applied.
   *
   * @return the store's revision; 0 before the first list
   */
  public long revision() {
    return revision;
  }

  /**
   * Records whether the store is reachable.
   *
   * @param nowMs the current time
   * @param reachable whether the store responded
   */
  public void updateStoreState(long nowMs, boolean reachable) {
    if (reachable && storeUnreachable) {
      storeRecoveredMs = nowMs;
    }
    storeUnreachable = !reachable;
  }

  /**
   * Records when the store was reachable again for another daemon.
   *
   * @param recoveredMs the time in milliseconds
   */
  public void recordStoreRecovery(long recoveredMs) {
    storeRecoveredMs = Math.max(storeRecoveredMs, recoveredMs);
  }

  /**
   * Returns the time since the store was reachable again, while entries that expired in its outage
   * may still be missing.
   *
   * @param nowMs the current time
   * @return the time in milliseconds; empty if it was longer ago or never
   */
  public Optional<Long> recoveredAgoMs(long nowMs) {
    long agoMs = nowMs - storeRecoveredMs;
    return agoMs < RECOVERY_MS ? Optional.of(Math.max(0, agoMs)) : Optional.empty();
  }

  /**
   * Records that the store was restored from an older copy. Its next list may lack new targets,
   * which write their entries again, and may contain targets that are gone, which stay unavailable.
   *
   * @param nowMs the current time
   */
  public void onStoreRestored(long nowMs) {
    storeRecoveredMs = nowMs;
    targets.values().stream()
        .filter(target -> goneAtMs.getOrDefault(target.id(), Long.MAX_VALUE) <= nowMs)
        .forEach(gone -> leavingIncarnations.add(incarnationOf(gone)));
  }

  /**
   * Returns whether the latest request to the store failed.
   *
   * @return true if it did
   */
  public boolean isStoreUnreachable() {
    return storeUnreachable;
  }

  /**
   * Returns whether removals may be missing or wrong: during a store outage, and after it until
   * expired entries are restored.
   *
   * @param nowMs the current time
   * @return true if the state reported by the targets themselves is more reliable than the list
   */
  public boolean isListUnreliable(long nowMs) {
    return storeUnreachable || nowMs - storeRecoveredMs < RECOVERY_MS;
  }

  /**
   * Replaces the target list. A list older than the latest update is ignored.
   *
   * @param nowMs the current time
   * @param atRevision the revision of the list
   * @param listed all targets
   * @return the resulting change
   */
  public Change replaceAll(long nowMs, long atRevision, List<RoutedTarget> listed) {
    if (listReceived && atRevision < revision) {
      return Change.NONE;
    }
    listReceived = true;
    revision = Math.max(revision, atRevision);
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
   * Adds or replaces a target. An earlier incarnation than the known one is ignored, as only a
   * restored store lists it.
   *
   * @param nowMs the current time
   * @param atRevision the revision of the entry
   * @param target the target
   * @return the resulting change
   */
  public Change put(long nowMs, long atRevision, RoutedTarget target) {
    revision = Math.max(revision, atRevision);
    RoutedTarget previous = targets.get(target.id());
    boolean isKnownIncarnation = target.incarnation() > 0;
    if (previous != null && isKnownIncarnation && target.incarnation() < previous.incarnation()) {
      return Change.NONE;
    }
    final boolean restarted = previous != null && !previous.isSameIncarnation(target);
    final boolean wasAvailable =
        previous != null && !isLeaving(previous) && !isRemoved(previous.id());
    if (target.leaving()) {
      leavingIncarnations.add(incarnationOf(target));
    }
    targets.put(target.id(), isLeaving(target) ? target.asLeaving() : target);
    goneAtMs.remove(target.id());
    goneReported.remove(target.id());
    removedAtMs.remove(target.id());
    List<RoutedTarget> leaving =
        isLeaving(target) && wasAvailable && !restarted ? List.of(target) : List.of();
    return new Change(leaving, restarted ? List.of(previous) : List.of());
  }

  /**
   * Removes a target.
   *
   * @param nowMs the current time
   * @param atRevision the revision of the removal
   * @param targetId the identifier of the target
   * @return the resulting change
   */
  public Change remove(long nowMs, long atRevision, String targetId) {
    revision = Math.max(revision, atRevision);
    RoutedTarget target = targets.get(targetId);
    if (target == null || isRemoved(targetId) || removedAtMs.containsKey(targetId)) {
      return Change.NONE;
    }
    removedAtMs.put(targetId, nowMs);
    if (isLikelyExpiry(nowMs, target)) {
      goneAtMs.put(targetId, Math.max(nowMs, storeRecoveredMs) + RECOVERY_MS);
      recentRemovals(nowMs, target).forEach(this::deferGone);
      return Change.NONE;
    }
    goneAtMs.put(targetId, nowMs);
    goneReported.add(targetId);
    return isLeaving(target) ? Change.NONE : new Change(List.of(target), List.of());
  }

  /**
   * Marks a target as leaving, based on its own report or observed state.
   *
   * @param targetId the identifier of the target
   * @return the target; empty if it is unknown or already leaving
   */
  public Optional<RoutedTarget> markLeaving(String targetId) {
    RoutedTarget target = targets.get(targetId);
    if (target == null || isLeaving(target)) {
      return Optional.empty();
    }
    leavingIncarnations.add(incarnationOf(target));
    targets.put(targetId, target.asLeaving());
    return Optional.of(target);
  }

  /**
   * Processes removed targets: reports those that were not restored in time, and drops old ones
   * that are not in use.
   *
   * @param nowMs the current time
   * @param inUse whether the target with an identifier is in use and must be kept
   * @return the targets that are newly considered gone
   */
  public List<RoutedTarget> expire(long nowMs, Predicate<String> inUse) {
    List<RoutedTarget> gone = new ArrayList<>();
    for (RoutedTarget target : List.copyOf(targets.values())) {
      Long goneMs = goneAtMs.get(target.id());
      if (goneMs == null || goneMs > nowMs) {
        continue;
      }
      if (goneReported.add(target.id())) {
        gone.add(target);
      } else if (!inUse.test(target.id()) && nowMs - goneMs > RETENTION_MS) {
        forget(target);
      }
    }
    return gone;
  }

  /**
   * Finds a target, including leaving targets and removed ones that are still kept.
   *
   * @param targetId the identifier of the target
   * @return the target, or empty if it is unknown
   */
  public Optional<RoutedTarget> find(String targetId) {
    return Optional.ofNullable(targets.get(targetId));
  }

  /**
   * Returns the targets of a service that accept new calls.
   *
   * @param service the name of the service
   * @param nowMs the current time
   * @return the targets, in the order in which they were first seen
   */
  public List<RoutedTarget> findAvailable(String service, long nowMs) {
    return targets.values().stream()
        .filter(target -> target.service().equals(service) && acceptsWork(target, nowMs))
        .toList();
  }

  /**
   * Returns whether a target accepts new calls.
   *
   * @param targetId the identifier of the target
   * @param nowMs the current time
   * @return true if it does
   */
  public boolean isAvailable(String targetId, long nowMs) {
    return find(targetId).filter(target -> acceptsWork(target, nowMs)).isPresent();
  }

  /**
   * Returns the current target list, for another daemon that cannot read it from the store.
   *
   * @return the targets whose entries are not removed
   */
  public List<RoutedTarget> listed() {
    return targets.values().stream()
        .filter(target -> !removedAtMs.containsKey(target.id()))
        .toList();
  }

  /**
   * Returns the number of targets whose entries are not removed.
   *
   * @return the number of targets
   */
  public int listedCount() {
    return targets.size() - removedAtMs.size();
  }

  private boolean acceptsWork(RoutedTarget target, long nowMs) {
    boolean gone = goneAtMs.getOrDefault(target.id(), Long.MAX_VALUE) <= nowMs;
    return !gone && !isLeaving(target);
  }

  private boolean isLikelyExpiry(long nowMs, RoutedTarget target) {
    if (isListUnreliable(nowMs)) {
      return true;
    }
    long listed =
        siblings(target).filter(sibling -> !isLeaving(sibling) && !isRemoved(sibling.id())).count();
    long correlated = recentRemovals(nowMs, target).count();
    return correlated > 1 && correlated >= listed;
  }

  /** Returns the recently removed targets of the same service that were not leaving. */
  private Stream<RoutedTarget> recentRemovals(long nowMs, RoutedTarget target) {
    return siblings(target)
        .filter(sibling -> !isLeaving(sibling) && removedAtMs.containsKey(sibling.id()))
        .filter(sibling -> nowMs - removedAtMs.get(sibling.id()) <= CORRELATED_REMOVAL_MS);
  }

  /** Defers the unavailability of a removed target, so that its entry can be restored. */
  private void deferGone(RoutedTarget target) {
    long recoverByMs = removedAtMs.get(target.id()) + RECOVERY_MS;
    goneAtMs.merge(target.id(), recoverByMs, Math::max);
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

  private boolean isRemoved(String targetId) {
    return removedAtMs.containsKey(targetId);
  }

  private boolean isLeaving(RoutedTarget target) {
    return target.leaving() || leavingIncarnations.contains(incarnationOf(target));
  }

  private static String incarnationOf(RoutedTarget target) {
    return target.id() + "/" + target.incarnation();
  }
}
