package org.sequoiareach.decision.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Step-based simulation of one engine with heavy-tailed answer lengths, used to drive a strategy in
 * tests.
 *
 * <p>If memory is full, the generation with the greatest priority number is preempted and, among
 * equals, the most recent one.
 */
final class SimulatedEngine {

  /**
   * Mean time between arrivals in milliseconds at which the offered token-milliseconds equal the
   * memory capacity.
   */
  static final double PERIOD_AT_LOAD_ONE_MS = 310;

  private static final int BLOCKS = 1_500;
  private static final int BLOCK_TOKENS = 16;
  private static final int MEMORY_TOKENS = BLOCKS * BLOCK_TOKENS;
  private static final int MAX_BATCH = 64;
  private static final int MAX_TOKENS = 4_096;
  private static final int STEPS_PER_REPORT = 20;
  private static final double[] MEDIAN_TOKENS = {20, 120, 500};
  private static final double[] LOG_STD_DEVS = {0.5, 0.8, 1.0};
  private static final long DEADLINE_AFTER_MS = 240_000;
  private static final double STALL_THRESHOLD_MS = 200;
  private static final Comparator<Generation> SERVICE_ORDER =
      Comparator.<Generation>comparingInt(generation -> generation.priority)
          .thenComparingInt(generation -> generation.number);

  int preemptions;
  int finished;
  int refused;
  double stallMs;

  private final AdmissionStrategy strategy;
  private final Random random;
  private final TreeSet<Generation> batch = new TreeSet<>(SERVICE_ORDER);
  private final TreeSet<Generation> waiting = new TreeSet<>(SERVICE_ORDER);
  private final Map<String, Generation> offered = new HashMap<>();
  private EngineLoad delayedLoad = AdmissionFixtures.load(BLOCKS, 0, BLOCK_TOKENS);
  private double nowMs;

  SimulatedEngine(AdmissionStrategy strategy, long seed) {
    this.strategy = strategy;
    random = new Random(seed);
  }

  /**
   * Offers requests for the given duration, runs until all have ended and returns the number
   * offered.
   */
  int run(double periodMs, double durationMs) {
    double nextArrivalMs = 0;
    int arrivals = 0;
    for (int step = 0; nowMs < durationMs || !offered.isEmpty(); step++) {
      while (nextArrivalMs <= nowMs && nowMs < durationMs) {
        offer(new Generation(arrivals++, random));
        nextArrivalMs -= Math.log(1 - random.nextDouble()) * periodMs;
      }
      if (step % STEPS_PER_REPORT == 0) {
        strategy.recordLoad((long) nowMs, delayedLoad);
        int blocks = used() / BLOCK_TOKENS;
        delayedLoad = AdmissionFixtures.load(BLOCKS, blocks, BLOCK_TOKENS, batch.size(), stepMs());
      }
      strategy.processQueue((long) nowMs).forEach(this::apply);
      step();
    }
    return arrivals;
  }

  private void offer(Generation generation) {
    offered.put(generation.id, generation);
    int priority = 1 + random.nextInt(3);
    long deadlineMs = (long) nowMs + DEADLINE_AFTER_MS;
    PendingAttempt attempt =
        AdmissionFixtures.attempt(
            generation.id,
            priority,
            generation.prompt,
            MAX_TOKENS,
            deadlineMs,
            "class" + generation.kind);
    apply(strategy.offer((long) nowMs, attempt));
  }

  private void apply(AdmissionDecision admission) {
    String id = admission.attempt().attemptId();
    if (admission.action() == AdmissionDecision.Action.REFUSE) {
      offered.remove(id);
      refused++;
    } else if (admission.action() == AdmissionDecision.Action.START) {
      offered.get(id).priority = admission.enginePriority();
      waiting.add(offered.get(id));
    }
  }

  private void step() {
    boolean admitting = true;
    while (used() + batch.size() > MEMORY_TOKENS && batch.size() > 1) {
      waiting.add(batch.pollLast());
      preemptions++;
      admitting = false;
    }
    while (admitting && !waiting.isEmpty() && batch.size() < MAX_BATCH) {
      int reserveTokens = batch.isEmpty() ? 0 : MEMORY_TOKENS / 100;
      admitting = used() + waiting.first().held() + reserveTokens <= MEMORY_TOKENS;
      if (admitting) {
        batch.add(waiting.pollFirst());
      }
    }
    nowMs += stepMs();
    List.copyOf(batch).forEach(this::advance);
  }

  private void advance(Generation generation) {
    generation.tokens++;
    stallMs +=
        generation.tokens == 1 ? 0 : Math.max(0, nowMs - generation.tokenMs - STALL_THRESHOLD_MS);
    generation.tokenMs = nowMs;
    if (generation.tokens >= generation.length) {
      batch.remove(generation);
      offered.remove(generation.id);
      finished++;
      strategy.remove((long) nowMs, generation.id, generation.tokens);
    } else if (generation.tokens % BLOCK_TOKENS == 1) {
      strategy.recordProgress((long) nowMs, generation.id, generation.tokens);
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
      kind = random.nextInt(MEDIAN_TOKENS.length);
      prompt = 50 + random.nextInt(400);
      double drawn = MEDIAN_TOKENS[kind] * Math.exp(LOG_STD_DEVS[kind] * random.nextGaussian());
      length = (int) Math.max(1, Math.min(MAX_TOKENS, drawn));
    }

    private int held() {
      return prompt + tokens + BLOCK_TOKENS / 2;
    }
  }
}
