package org.sequoiareach.daemon.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiareach.decision.follow.FollowSettings;
import org.sequoiareach.decision.follow.ReadingRegistry;
import org.sequoiareach.decision.follow.StoreAccess;
import org.sequoiareach.decision.follow.StoreFollower;
import org.sequoiareach.store.prefix.PrefixEntry;
import org.sequoiareach.store.prefix.PrefixListener;
import org.sequoiareach.store.prefix.PrefixSnapshot;
import org.sequoiareach.store.prefix.PrefixWatcher;

/**
 * Guards against a lost answer to a watch that hides changes of the store for longer than the bound
 * within which these have to be in force, and against a patience so short that a slow store is read
 * again and again. A daemon that is alone follows the store in virtual time.
 */
class LostWatchAnswerPropertyTest {

  private static final long BOUND_MS = 2_000;
  private static final long USUAL_LATENCY_MS = 4;
  private static final long SLOW_LATENCY_MS = 50 * USUAL_LATENCY_MS;
  private static final long SETTLED_MS = 10_000;
  private static final long LENGTH_MS = 60_000;

  /** What a daemon learned of one prefix, and when. */
  private static final class Learned implements PrefixListener {

    private final VirtualTimer timer;
    private final List<Boolean> outcomes = new ArrayList<>();
    private long revision;
    private long confirmedMs;

    private Learned(VirtualTimer timer) {
      this.timer = timer;
    }

    @Override
    public void onSnapshot(PrefixSnapshot snapshot) {
      onChanges(snapshot.entries());
    }

    @Override
    public void onChanges(List<PrefixEntry> changes) {
      for (PrefixEntry change : changes) {
        revision = Long.parseLong(new String(change.value().orElseThrow(), StandardCharsets.UTF_8));
      }
    }

    @Override
    public void onCurrent(long asOfMs) {
      confirmedMs = Math.max(confirmedMs, asOfMs);
    }

    @Override
    public void onCallCompleted(boolean reachable, String detail) {
      outcomes.add(reachable);
    }

    long ageMs() {
      return timer.nowMs() - confirmedMs;
    }
  }

  /** A daemon that is alone, and its store. */
  private static final class Run {

    private final VirtualTimer timer = new VirtualTimer();
    private final Learned learned = new Learned(timer);
    private final VirtualPrefixStore store;

    private Run(long boundMs, LongUnaryOperator latencyMs) {
      store = new VirtualPrefixStore(timer, latencyMs);
      StoreFollower.Situation alone =
          new StoreFollower.Situation(1, true, ReadingRegistry.NEVER_MS);
      StoreAccess access =
          new StoreFollower(new FollowSettings(boundMs), max -> max).decide(0, alone).orElseThrow();
      new PrefixWatcher(store, "p/", timer, learned, timer::nowMs)
          .watch(access.pollMs(), access.patienceMs());
    }
  }

  /** A change may be lost itself, or be made while the connection of a lost answer is silent. */
  @Property
  void learnsOfChangesInTimeWhicheverAnswerIsLost(
      @ForAll @IntRange(min = 500, max = 16_000) int boundMs,
      @ForAll @IntRange(max = 40) int latencyPerMilleOfBound,
      @ForAll @IntRange(max = 4_000) int lossPerMilleOfBound,
      @ForAll @IntRange(max = 2_000) int changePerMilleOfBound,
      @ForAll boolean changeIsLost) {
    long latencyMs = (long) boundMs * latencyPerMilleOfBound / 1_000;
    Run run = new Run(boundMs, at -> latencyMs);
    long lossMs = 2L * boundMs + (long) boundMs * lossPerMilleOfBound / 1_000;
    run.store.loseWatchAnswerFrom(lossMs);
    if (changeIsLost) {
      run.timer.at(lossMs, run.store::change);
    }
    long changeMs = lossMs + (long) boundMs * changePerMilleOfBound / 1_000;
    long[] changed = {0};
    run.timer.at(changeMs, () -> changed[0] = run.store.change());

    run.timer.runUntil(changeMs + boundMs);

    assertThat(run.learned.revision).isEqualTo(changed[0]);
    assertThat(run.learned.outcomes).as("whether the store was reachable").doesNotContain(false);
  }

  /** Prints the figure of docs/PLATFORM.md. */
  @Test
  void confirmsWhatItHoldsWithinTheBoundWheneverAnAnswerIsLost() {
    long longestMs = 0;
    for (long lossMs = SETTLED_MS; lossMs < SETTLED_MS + 2 * BOUND_MS; lossMs++) {
      Run run = new Run(BOUND_MS, at -> USUAL_LATENCY_MS);
      run.store.loseWatchAnswerFrom(lossMs);
      for (long atMs = SETTLED_MS; atMs < SETTLED_MS + 4 * BOUND_MS; atMs += 2) {
        run.timer.runUntil(atMs);
        longestMs = Math.max(longestMs, run.learned.ageMs());
      }
    }
    System.out.println("longest time without a confirmed reading: " + longestMs + " ms");
    assertThat(longestMs).isLessThanOrEqualTo(BOUND_MS);
  }

  @Test
  void doesNotReadSlowStoreAgainAndAgain() {
    Run run = new Run(BOUND_MS, at -> at < SETTLED_MS ? USUAL_LATENCY_MS : SLOW_LATENCY_MS);
    run.timer.runUntil(LENGTH_MS);

    System.out.println(
        "calls in 10 s of a usual and 50 s of a slow store: reads="
            + run.store.reads()
            + " watches="
            + run.store.watches());
    // The first one, and one as the store turns slow.
    assertThat(run.store.reads()).isLessThanOrEqualTo(2);
    assertThat(run.learned.outcomes).doesNotContain(false);
  }
}
