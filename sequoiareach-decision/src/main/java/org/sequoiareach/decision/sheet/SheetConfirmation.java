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
 * Keeps the latest time at which the sheet held was certainly as new as any in force.
 *
 * <p>A time counts as confirmed by a read of the key-value service sent then, by answers from more
 * than half of the listed daemons to questions sent then or later, or by a daemon that answers for
 * such a time itself. Only daemons that were confirmed since they started count among the half: one
 * that has just started remembers nothing.
 */
final class SheetConfirmation {

  private final String selfId;
  private final Map<String, Answer> answers = new HashMap<>();
  private Set<String> listed = Set.of();
  private long confirmedMs;
  private long notBeforeMs;
  private boolean settled;
  private boolean valid;

  SheetConfirmation(String selfId) {
    this.selfId = selfId;
  }

  void useList(Set<String> daemons) {
    listed = Set.copyOf(daemons);
    answers.keySet().retainAll(listed);
  }

  Set<String> listed() {
    return listed;
  }

  boolean settled() {
    return settled;
  }

  /** Returns how long ago the last confirmation was; empty where none counts. */
  OptionalLong ageMs(long nowMs) {
    return valid ? OptionalLong.of(Math.max(0, nowMs - confirmedMs)) : OptionalLong.empty();
  }

  /** Drops what was confirmed before a pause; answers to earlier questions no longer count. */
  void distrustBefore(long nowMs) {
    notBeforeMs = nowMs;
    valid = false;
  }

  /** Takes a read of the key-value service into account. */
  void confirmByRead(long askedMs) {
    confirm(askedMs);
  }

  /** Keeps an answer of another daemon for the next review. */
  void answered(String daemonId, long askedMs, SheetStatus status) {
    if (listed.contains(daemonId)) {
      answers.put(daemonId, new Answer(askedMs, status));
    }
  }

  /** Weighs all answers, after one has come or the sheet held or the list has changed. */
  void review(long nowMs, long heldVersion) {
    reviewMajority(nowMs, heldVersion);
    if (!settled) {
      return;
    }
    for (Answer answer : answers.values()) {
      if (answer.status.sheet().version() <= heldVersion) {
        OptionalLong age = answer.status.confirmedAgeMs();
        age.ifPresent(ageMs -> confirm(answer.askedMs - ageMs));
      }
    }
  }

  /** Tells whether a daemon still has to answer for a majority asked no earlier than a time. */
  boolean lacksAnswerSince(String daemonId, long sinceMs) {
    Answer answer = answers.get(daemonId);
    return answer == null || answer.askedMs < sinceMs || !answer.status.settled();
  }

  private void reviewMajority(long nowMs, long heldVersion) {
    int needed = listed.size() / 2 + 1;
    List<Answer> witnesses = new ArrayList<>();
    for (Answer answer : answers.values()) {
      if (answer.status.settled()) {
        witnesses.add(answer);
      }
    }
    boolean countsItself = settled && listed.contains(selfId);
    int others = countsItself ? needed - 1 : needed;
    if (listed.isEmpty() || witnesses.size() < others) {
      return;
    }
    if (others == 0) {
      confirm(nowMs);
      return;
    }
    witnesses.sort(Comparator.comparingLong(Answer::askedMs).reversed());
    List<Answer> majority = witnesses.subList(0, others);
    if (majority.stream().allMatch(a -> a.status.sheet().version() <= heldVersion)) {
      confirm(majority.get(others - 1).askedMs);
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
   * Is the latest answer of a daemon.
   *
   * @param askedMs when it was asked, on this daemon's clock
   * @param status what it answered
   */
  private record Answer(long askedMs, SheetStatus status) {}
}
