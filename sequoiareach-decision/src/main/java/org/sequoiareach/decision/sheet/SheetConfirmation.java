package org.sequoiareach.decision.sheet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Tracks the latest time at which the local sheet was known to be at least as new as the current
 * sheet.
 *
 * <p>A time is confirmed by a read of the key-value service sent at that time, by status answers
 * from a majority of the listed daemons to queries sent at or after that time, or, once this daemon
 * is settled, by a daemon that reports such a confirmation of its own. Only settled daemons, which
 * had a confirmation since they started, count towards the majority, because a restarted daemon has
 * lost its sheet. Not thread-safe.
 */
final class SheetConfirmation {

  private final String selfId;
  private final Map<String, StatusAnswer> answers = new HashMap<>();
  private Set<String> listed = Set.of();
  private long confirmedMs;
  private long notBeforeMs;
  private boolean settled;
  private boolean valid;

  SheetConfirmation(String selfId) {
    this.selfId = selfId;
  }

  void setListed(Set<String> daemons) {
    listed = Set.copyOf(daemons);
    answers.keySet().retainAll(listed);
  }

  Set<String> listed() {
    return listed;
  }

  boolean settled() {
    return settled;
  }

  /** Returns the age of the latest confirmation in milliseconds, or empty if none is valid. */
  OptionalLong ageMs(long nowMs) {
    return valid ? OptionalLong.of(Math.max(0, nowMs - confirmedMs)) : OptionalLong.empty();
  }

  /** Invalidates confirmations before a pause; answers to earlier queries no longer count. */
  void invalidateBefore(long nowMs) {
    notBeforeMs = nowMs;
    valid = false;
  }

  /** Confirms the local sheet by a read of the key-value service sent at the given time. */
  void confirmByRead(long askedMs) {
    confirm(askedMs);
  }

  /** Records the answer of another daemon for the next update. */
  void recordAnswer(String daemonId, long askedMs, SheetStatus status) {
    if (listed.contains(daemonId)) {
      answers.put(daemonId, new StatusAnswer(askedMs, status));
    }
  }

  /** Evaluates all answers; called when an answer, the local sheet or the VM list has changed. */
  void update(long nowMs, long localVersion) {
    confirmByMajority(nowMs, localVersion);
    if (!settled) {
      return;
    }
    for (StatusAnswer answer : answers.values()) {
      if (answer.status.sheet().version() <= localVersion) {
        OptionalLong age = answer.status.confirmedAgeMs();
        age.ifPresent(ageMs -> confirm(answer.askedMs - ageMs));
      }
    }
  }

  /** Returns whether a daemon has not yet given a settled answer to a query sent since a time. */
  boolean needsAnswerSince(String daemonId, long sinceMs) {
    StatusAnswer answer = answers.get(daemonId);
    return answer == null || answer.askedMs < sinceMs || !answer.status.settled();
  }

  private void confirmByMajority(long nowMs, long localVersion) {
    int majoritySize = listed.size() / 2 + 1;
    List<StatusAnswer> settledAnswers = new ArrayList<>();
    for (StatusAnswer answer : answers.values()) {
      if (answer.status.settled()) {
        settledAnswers.add(answer);
      }
    }
    boolean countsSelf = settled && listed.contains(selfId);
    int requiredAnswers = countsSelf ? majoritySize - 1 : majoritySize;
    if (listed.isEmpty() || settledAnswers.size() < requiredAnswers) {
      return;
    }
    if (requiredAnswers == 0) {
      confirm(nowMs);
      return;
    }
    settledAnswers.sort(Comparator.comparingLong(StatusAnswer::askedMs).reversed());
    List<StatusAnswer> majority = settledAnswers.subList(0, requiredAnswers);
    if (majority.stream().allMatch(a -> a.status.sheet().version() <= localVersion)) {
      confirm(majority.get(requiredAnswers - 1).askedMs);
    }
  }

  private void confirm(long atMs) {
    if (atMs < notBeforeMs || valid && atMs <= confirmedMs) {
      return;
    }
    confirmedMs = atMs;
    valid = true;
    settled = true;
  }

  /**
   * The latest status answer of a daemon.
   *
   * @param askedMs when the query was sent, in milliseconds on the local clock
   * @param status the reported status
   */
  private record StatusAnswer(long askedMs, SheetStatus status) {}
}
