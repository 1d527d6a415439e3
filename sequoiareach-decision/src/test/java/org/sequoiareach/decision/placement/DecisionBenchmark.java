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
import org.sequoiareach.decision.routing.PrefixLocality;
import org.sequoiareach.decision.routing.RouteChoice;
import org.sequoiareach.decision.routing.TargetView;
import org.sequoiareach.decision.routing.TwoChoicesRouting;

/**
 * Measures decisions by JMH; run by hand, with {@code org.openjdk.jmh.Main} and {@code -prof gc}.
 *
 * <p>Each target runs 20 answers and has 32 attempts waiting, so that every review finds no room.
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
  private static final long FAR = 1L << 40;

  /** Targets that this daemon routes to and, as a bad case, owns. */
  @Param({"10", "10000"})
  public int targets;

  private final LengthStatistics statistics = new LengthStatistics(LengthSettings.defaults());
  private final TwoChoicesRouting routing = new TwoChoicesRouting(new PrefixLocality());
  private final List<ExpectedMemoryAdmission> books = new ArrayList<>();
  private final List<TargetView> views = new ArrayList<>();
  private PendingAttempt probe;
  private long nowMs;
  private int next;

  /** Fills the accounts of all targets. */
  @Setup
  public void fill() {
    for (int i = 0; i < 500; i++) {
      statistics.estimator(0, new LengthKey("org", "model", "draft")).ended(0, 0, 50 + i);
    }
    FairShare shares = new FairShare();
    for (int i = 0; i < targets; i++) {
      ExpectedMemoryAdmission book =
          new ExpectedMemoryAdmission("t" + i, AdmissionSettings.defaults(), statistics, shares);
      book.report(0, Attempts.load(MEMORY_TOKENS, 0, 1));
      for (int j = 0; j < RUNNING + QUEUED; j++) {
        book.offer(0, Attempts.attempt("a" + j, 5, 200, 1_000, FAR));
      }
      for (int j = 0; j < RUNNING; j++) {
        book.progress(10, "a" + j, 1);
      }
      books.add(book);
      LoadHint hint = book.hint(0);
      views.add(new TargetView("t" + i, "z", i % 3 == 0, 3, Optional.of(hint), 100));
    }
    probe = Attempts.attempt("probe", 5, 200, 1_000, FAR);
  }

  /** Chooses among all targets. */
  @Benchmark
  public RouteChoice choose() {
    next++;
    return routing.choose(nowMs, probe.spec(), views, next * 0x9e3779b97f4a7c15L).orElseThrow();
  }

  /** Offers an attempt to a full target and takes it back. */
  @Benchmark
  public Admission offerAndRemove() {
    ExpectedMemoryAdmission book = nextBook();
    Admission admission = book.offer(nowMs, probe);
    book.remove(nowMs, "probe", -1);
    return admission;
  }

  /** Reviews a full target, one in 50 ms. */
  @Benchmark
  public List<Admission> review() {
    ExpectedMemoryAdmission book = nextBook();
    nowMs += next % targets == 0 ? 50 : 0;
    return book.review(nowMs);
  }

  /** Records progress of one answer. */
  @Benchmark
  public void progress() {
    ExpectedMemoryAdmission book = nextBook();
    book.progress(nowMs, "a0", next);
  }

  private ExpectedMemoryAdmission nextBook() {
    next = next + 1 & Integer.MAX_VALUE;
    return books.get(next % targets);
  }
}
