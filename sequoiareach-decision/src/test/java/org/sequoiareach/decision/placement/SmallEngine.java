package org.sequoiareach.decision.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Models one engine in steps, with heavy-tailed answers, to drive a strategy in tests. When memory
 * is full the generation with the greatest priority number, among equals the latest, is preempted.
 */
final class SmallEngine {

  /** Time between arrivals that offers as many token-milliseconds as the memory has. */
  static final double PERIOD_AT_LOAD_ONE_MS = 310;

  private static final int BLOCKS = 1_500;
  private static final int BLOCK_TOKENS = 16;
  private static final int MEMORY_TOKENS = BLOCKS * BLOCK_TOKENS;
  private static final int MAX_BATCH = 64;
  private static final int MAX_TOKENS = 4_096;
  private static final int REPORT_STEPS = 20;
  private static final double[] MEDIANS = {20, 120, 500};
  private static final double[] SIGMAS = {0.5, 0.8, 1.0};
  private static final long PATIENCE_MS = 240_000;
  private static final double STALL_MS = 200;
  private static final Comparator<Generation> SERVICE_ORDER =
      Comparator.<Generation>comparingInt(one -> one.priority).thenComparingInt(one -> one.number);

  int preemptions;
  int finished;
  int refused;
  double stallMs;

  private final AdmissionStrategy strategy;
  private final Random random;
  private final TreeSet<Generation> batch = new TreeSet<>(SERVICE_ORDER);
  private final TreeSet<Generation> waiting = new TreeSet<>(SERVICE_ORDER);
  private final Map<String, Generation> offered = new HashMap<>();
  private EngineLoad lagged = Attempts.load(BLOCKS, 0, BLOCK_TOKENS);
  private double nowMs;

  SmallEngine(AdmissionStrategy strategy, long seed) {
    this.strategy = strategy;
    random = new Random(seed);
  }

  /** Offers requests for a time, then runs until all are over; returns how many were offered. */
  int run(double periodMs, double durationMs) {
    double nextArrivalMs = 0;
    int arrivals = 0;
    for (int step = 0; nowMs < durationMs || !offered.isEmpty(); step++) {
      while (nextArrivalMs <= nowMs && nowMs < durationMs) {
        arrive(new Generation(arrivals++, random));
        nextArrivalMs -= Math.log(1 - random.nextDouble()) * periodMs;
      }
      if (step % REPORT_STEPS == 0) {
        strategy.report((long) nowMs, lagged);
        int blocks = used() / BLOCK_TOKENS;
        lagged = Attempts.load(BLOCKS, blocks, BLOCK_TOKENS, batch.size(), stepMs());
      }
      strategy.review((long) nowMs).forEach(this::apply);
      step();
    }
    return arrivals;
  }

  private void arrive(Generation one) {
    offered.put(one.id, one);
    int priority = 1 + random.nextInt(3);
    long deadlineMs = (long) nowMs + PATIENCE_MS;
    PendingAttempt attempt =
        Attempts.attempt(one.id, priority, one.prompt, MAX_TOKENS, deadlineMs, "class" + one.kind);
    apply(strategy.offer((long) nowMs, attempt));
  }

  private void apply(Admission admission) {
    String id = admission.attempt().attemptId();
    if (admission.action() == Admission.Action.REFUSE) {
      offered.remove(id);
      refused++;
    } else if (admission.action() == Admission.Action.START) {
      offered.get(id).priority = admission.enginePriority();
      waiting.add(offered.get(id));
    }
  }

  private void step() {
    boolean mayEnter = true;
    while (used() + batch.size() > MEMORY_TOKENS && batch.size() > 1) {
      waiting.add(batch.pollLast());
      preemptions++;
      mayEnter = false;
    }
    while (mayEnter && !waiting.isEmpty() && batch.size() < MAX_BATCH) {
      int reserve = batch.isEmpty() ? 0 : MEMORY_TOKENS / 100;
      mayEnter = used() + waiting.first().held() + reserve <= MEMORY_TOKENS;
      if (mayEnter) {
        batch.add(waiting.pollFirst());
      }
    }
    nowMs += stepMs();
    List.copyOf(batch).forEach(this::advance);
  }

  private void advance(Generation one) {
    one.tokens++;
    stallMs += one.tokens == 1 ? 0 : Math.max(0, nowMs - one.tokenMs - STALL_MS);
    one.tokenMs = nowMs;
    if (one.tokens >= one.length) {
      batch.remove(one);
      offered.remove(one.id);
      finished++;
      strategy.remove((long) nowMs, one.id, one.tokens);
    } else if (one.tokens % BLOCK_TOKENS == 1) {
      strategy.progress((long) nowMs, one.id, one.tokens);
    }
  }

  private int used() {
    return batch.stream().mapToInt(Generation::held).sum();
  }

  private double stepMs() {
    return 12 + 0.3 * batch.size() + 0.0002 * used();
  }

  private static final class Generation {
    private final String id;
    private final int number;
    private final int kind;
    private final int prompt;
    private final int length;
    private int priority;
    private int tokens;
    private double tokenMs;

    Generation(int number, Random random) {
      id = "g" + number;
      this.number = number;
      kind = random.nextInt(MEDIANS.length);
      prompt = 50 + random.nextInt(400);
      double drawn = MEDIANS[kind] * Math.exp(SIGMAS[kind] * random.nextGaussian());
      length = (int) Math.max(1, Math.min(MAX_TOKENS, drawn));
    }

    private int held() {
      return prompt + tokens + BLOCK_TOKENS / 2;
    }
  }
}
