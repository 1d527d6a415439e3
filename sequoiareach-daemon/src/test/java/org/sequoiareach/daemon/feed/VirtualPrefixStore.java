package org.sequoiareach.daemon.feed;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.sequoiareach.store.prefix.PrefixChanges;
import org.sequoiareach.store.prefix.PrefixEntry;
import org.sequoiareach.store.prefix.PrefixSnapshot;
import org.sequoiareach.store.prefix.PrefixStore;
import org.sequoiareach.store.prefix.PrefixStoreException;
import org.sequoiareach.store.prefix.PrefixStoreException.Kind;

/** A store in virtual time, which is slow at times and loses answers to watches. */
final class VirtualPrefixStore implements PrefixStore {

  private static final String KEY = "p/a";

  private final VirtualTimer timer;
  private final LongUnaryOperator latencyMs;
  private final List<Runnable> waiting = new ArrayList<>();
  private long revision = 1;
  private long losesFromMs = Long.MAX_VALUE;
  private int reads;
  private int watches;

  /**
   * Creates a store.
   *
   * @param latencyMs returns how long a call takes that begins at a given time
   */
  VirtualPrefixStore(VirtualTimer timer, LongUnaryOperator latencyMs) {
    this.timer = timer;
    this.latencyMs = latencyMs;
  }

  /** Loses the first answer to a watch that is sent at or after a time. */
  void loseWatchAnswerFrom(long atMs) {
    losesFromMs = atMs;
  }

  /** Changes the value of the key and returns the revision of the change. */
  long change() {
    revision++;
    List<Runnable> notified = List.copyOf(waiting);
    waiting.clear();
    notified.forEach(Runnable::run);
    return revision;
  }

  int reads() {
    return reads;
  }

  int watches() {
    return watches;
  }

  @Override
  public CompletableFuture<PrefixSnapshot> read(String prefix, long deadlineMs) {
    reads++;
    CompletableFuture<PrefixSnapshot> result = withDeadline(deadlineMs);
    long wayMs = wayMs();
    timer.at(
        timer.nowMs() + wayMs,
        () -> answer(result, wayMs, () -> new PrefixSnapshot(List.of(entry()), revision)));
    return result;
  }

  @Override
  public CompletableFuture<PrefixChanges> awaitChanges(
      String prefix, long afterRevision, long waitUntilMs, long deadlineMs) {
    watches++;
    CompletableFuture<PrefixChanges> result = withDeadline(deadlineMs);
    long wayMs = wayMs();
    boolean[] answered = {false};
    Runnable answer =
        () -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          if (timer.nowMs() >= losesFromMs) {
            losesFromMs = Long.MAX_VALUE;
            return;
          }
          answer(
              result,
              wayMs,
              () ->
                  new PrefixChanges(
                      revision > afterRevision ? List.of(entry()) : List.of(), revision));
        };
    timer.at(
        timer.nowMs() + wayMs,
        () -> {
          if (revision > afterRevision) {
            answer.run();
          } else {
            waiting.add(answer);
          }
        });
    timer.at(waitUntilMs + wayMs, answer);
    return result;
  }

  private long wayMs() {
    return latencyMs.applyAsLong(timer.nowMs()) / 2;
  }

  private <T> void answer(CompletableFuture<T> result, long wayMs, Supplier<T> content) {
    T value = content.get();
    timer.at(timer.nowMs() + wayMs, () -> result.complete(value));
  }

  private <T> CompletableFuture<T> withDeadline(long deadlineMs) {
    CompletableFuture<T> result = new CompletableFuture<>();
    timer.at(
        deadlineMs,
        () ->
            result.completeExceptionally(
                new PrefixStoreException(Kind.UNAVAILABLE, "no response by the deadline", null)));
    return result;
  }

  private PrefixEntry entry() {
    return new PrefixEntry(
        KEY, revision, Optional.of(Long.toString(revision).getBytes(StandardCharsets.UTF_8)));
  }
}
