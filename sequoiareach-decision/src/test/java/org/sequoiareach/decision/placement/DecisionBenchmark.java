package org.sequoiareach.decision.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.routing.PowerOfTwoChoicesRouting;
import org.sequoiareach.decision.routing.PrefixCacheIndex;
import org.sequoiareach.decision.routing.RouteChoice;
import org.sequoiareach.decision.routing.TargetView;

/**
 * JMH benchmark of placement decisions. Run it manually with {@code org.openjdk.jmh.Main} and
 * {@code -prof gc}.
 *
 * <p>Each target runs 20 answers and has 32 attempts queued, so that processing a queue never finds
 * capacity.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
    value = 1,
    jvmArgs = {"-Xmx2g", "-XX:+UseSerialGC"})
public class DecisionBenchmark {

  private static final int RUNNING = 20;
  private static final int QUEUED = 32;
  private static final int MEMORY_TOKENS = 9_000;
  private static final long FAR_DEADLINE_MS = 1L << 40;

  /** Targets that this daemon routes to. It also owns all of them, which is the worst case. */
  @Param({"10", "10000"})
  public int targets;

  private final LengthStatistics statistics = new LengthStatistics(LengthSettings.defaults());
  private final PowerOfTwoChoicesRouting routing =
      new PowerOfTwoChoicesRouting(new PrefixCacheIndex());
  private final List<ExpectedMemoryAdmission> strategies = new ArrayList<>();
  private final List<TargetView> views = new ArrayList<>();
  private PendingAttempt probe;
  private long nowMs;
  private int next;

  /** Creates the strategy and the queue of every target. */
  @Setup
  public void fill() {
    for (int i = 0; i < 500; i++) {
      statistics
          .estimator(0, new LengthKey("org", "model", "draft"))
          .recordCompletion(0, 0, 50 + i);
    }
    FairShare shares = new FairShare();
    for (int i = 0; i < targets; i++) {
      ExpectedMemoryAdmission strategy =
          new ExpectedMemoryAdmission("t" + i, AdmissionSettings.defaults(), statistics, shares);
      strategy.recordLoad(0, AdmissionFixtures.load(MEMORY_TOKENS, 0, 1));
      for (int j = 0; j < RUNNING + QUEUED; j++) {
        strategy.offer(0, AdmissionFixtures.attempt("a" + j, 5, 200, 1_000, FAR_DEADLINE_MS));
      }
      for (int j = 0; j < RUNNING; j++) {
        strategy.recordProgress(10, "a" + j, 1);
      }
      strategies.add(strategy);
      LoadHint hint = strategy.hint(0);
      views.add(new TargetView("t" + i, "z", i % 3 == 0, 3, Optional.of(hint), 100));
    }
    probe = AdmissionFixtures.attempt("probe", 5, 200, 1_000, FAR_DEADLINE_MS);
  }

  /** Chooses among all targets. */
  @Benchmark
  public RouteChoice choose() {
    next++;
    return routing.choose(nowMs, probe.spec(), views, next * 0x9e3779b97f4a7c15L).orElseThrow();
  }

  /** Offers an attempt to a full target and removes it again. */
  @Benchmark
  public AdmissionDecision offerAndRemove() {
    ExpectedMemoryAdmission strategy = nextStrategy();
    AdmissionDecision admission = strategy.offer(nowMs, probe);
    strategy.remove(nowMs, "probe", -1);
    return admission;
  }

  /**
   * Processes the queue of a full target; the time advances by 50 ms per round over all targets.
   */
  @Benchmark
  public List<AdmissionDecision> review() {
    ExpectedMemoryAdmission strategy = nextStrategy();
    nowMs += next % targets == 0 ? 50 : 0;
    return strategy.processQueue(nowMs);
  }

  /** Records the progress of one answer. */
  @Benchmark
  public void progress() {
    ExpectedMemoryAdmission strategy = nextStrategy();
    strategy.recordProgress(nowMs, "a0", next);
  }

  private ExpectedMemoryAdmission nextStrategy() {
    next = next + 1 & Integer.MAX_VALUE;
    return strategies.get(next % targets);
  }
}
