package org.sequoiareach.decision.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sequoiareach.decision.placement.AdmissionFixtures.attempt;
import static org.sequoiareach.decision.placement.AdmissionFixtures.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sequoiareach.decision.budget.FairShare;
import org.sequoiareach.decision.length.LengthKey;
import org.sequoiareach.decision.length.LengthSettings;
import org.sequoiareach.decision.length.LengthStatistics;
import org.sequoiareach.decision.placement.AdmissionDecision.Action;

class AdmissionPropertiesTest {

  private static final int QUEUE_BOUND = 5;
  private static final AdmissionSettings SETTINGS =
      new AdmissionSettings(2_000, QUEUE_BOUND, 500, 0.05, 5_000, 45);

  @Property(tries = 300, seed = "20261203")
  void maximumLengthAdmissionDecidesOnEveryAttemptOnce(@ForAll long seed) {
    new RandomCalls(new MaximumLengthAdmission("t", SETTINGS), seed).run();
  }

  @Property(tries = 300, seed = "20261203")
  void expectedMemoryAdmissionDecidesOnEveryAttemptOnce(@ForAll long seed) {
    LengthStatistics statistics = new LengthStatistics(LengthSettings.defaults());
    new RandomCalls(new ExpectedMemoryAdmission("t", SETTINGS, statistics, new FairShare()), seed)
        .run();
  }

  @Property(tries = 100, seed = "20261203")
  void attemptsOfKnownLengthNeverOverflowMemory(
      @ForAll @IntRange(min = 16, max = 600) int length,
      @ForAll @IntRange(min = 1, max = 400) int prompt,
      @ForAll @IntRange(min = 1, max = 40) int stepMs) {
    LengthStatistics statistics = new LengthStatistics(new LengthSettings(1L << 40, 1e-6, 8));
    for (int i = 0; i < 200; i++) {
      // All learnt answers exceed the maximum length, so every attempt is predicted to reach it.
      statistics
          .estimator(0, new LengthKey("org", "model", "draft"))
          .recordCompletion(0, 0, 100_000);
    }
    AdmissionSettings settings = new AdmissionSettings(1, 50, 500, 0.001, 60_000, 1_000);
    AdmissionStrategy admission =
        new ExpectedMemoryAdmission("t", settings, statistics, new FairShare());
    int memory = 4_000;
    for (int batch = 1; batch < 500; batch++) {
      admission.recordLoad(0, load(memory, batch * 7 % memory, 1, batch % 64, stepMs));
    }
    admission.recordLoad(0, load(memory, 0, 1));
    Map<String, Integer> running = new HashMap<>();
    for (int step = 0; step < 800; step++) {
      long nowMs = (long) step * stepMs;
      for (String id : List.copyOf(running.keySet())) {
        int tokens = running.merge(id, 1, Integer::sum);
        if (tokens < length) {
          admission.recordProgress(nowMs, id, tokens);
        } else {
          running.remove(id);
          admission.remove(nowMs, id, tokens);
        }
      }
      int used = running.values().stream().mapToInt(tokens -> prompt + tokens).sum();
      assertThat(used).as("step %s", step).isLessThanOrEqualTo(memory);
      admission.recordLoad(nowMs, load(memory, used, 1, running.size(), stepMs));
      List<AdmissionDecision> decisions = new ArrayList<>(admission.processQueue(nowMs));
      decisions.add(admission.offer(nowMs, attempt("a" + step, 5, prompt, length, 1L << 40)));
      decisions.stream()
          .filter(decision -> decision.action() == Action.START)
          .forEach(decision -> running.put(decision.attempt().attemptId(), 0));
    }
  }

  /** Makes random calls to a strategy and checks its contract after each. */
  private static final class RandomCalls {

    private final AdmissionStrategy admission;
    private final Random random;
    private final Map<String, PendingAttempt> queued = new HashMap<>();
    private final List<String> running = new ArrayList<>();
    private long nowMs = 1;
    private int offers;

    RandomCalls(AdmissionStrategy admission, long seed) {
      this.admission = admission;
      random = new Random(seed);
    }

    void run() {
      for (int i = 0; i < 300; i++) {
        nowMs += random.nextInt(200);
        call(random.nextInt(12));
        assertThat(admission.hint(nowMs).queued()).isLessThanOrEqualTo(QUEUE_BOUND);
        assertThat(admission.hint(nowMs).running()).isEqualTo(running.size());
      }
      nowMs += 1_000_000;
      admission.processQueue(nowMs).forEach(this::recordDecision);
      assertThat(queued).as("attempts forgotten past their deadline").isEmpty();
    }

    private void call(int kind) {
      switch (kind) {
        case 0, 1, 2, 3 -> offer();
        case 4, 5 ->
            pickRunning().ifPresent(id -> admission.recordProgress(nowMs, id, random.nextInt(900)));
        case 6, 7 -> pickRunning().ifPresent(this::end);
        case 8 -> admission.recordLoad(nowMs, load(100, random.nextInt(101), 20, 1, 20));
        case 9 -> cancelOneQueued();
        case 10 -> withdrawOccasionally();
        default -> admission.processQueue(nowMs).forEach(this::recordDecision);
      }
    }

    private void offer() {
      String id = "a" + offers++;
      long deadlineMs = nowMs - 5 + random.nextInt(20_000);
      int max = 1 + random.nextInt(1_500);
      int priority = 1 + random.nextInt(9);
      PendingAttempt attempt = attempt(id, priority, random.nextInt(2_100), max, deadlineMs);
      queued.put(id, attempt);
      AdmissionDecision decision = admission.offer(nowMs, attempt);
      if (decision.action() != Action.QUEUE) {
        recordDecision(decision);
      }
    }

    private void recordDecision(AdmissionDecision decision) {
      assertThat(decision.action()).isNotEqualTo(Action.QUEUE);
      assertThat(decision.retryAfterMs()).isNotNegative();
      PendingAttempt attempt = queued.remove(decision.attempt().attemptId());
      assertThat(attempt).as("decided on twice or never offered").isNotNull();
      if (decision.action() == Action.START) {
        assertThat(attempt.deadlineMs()).isGreaterThan(nowMs);
        running.add(attempt.attemptId());
      }
    }

    private Optional<String> pickRunning() {
      return running.isEmpty()
          ? Optional.empty()
          : Optional.of(running.get(random.nextInt(running.size())));
    }

    private void end(String id) {
      running.remove(id);
      admission.remove(nowMs, id, random.nextInt(1_000) - 1);
    }

    private void cancelOneQueued() {
      queued.keySet().stream()
          .sorted()
          .findFirst()
          .ifPresent(
              id -> {
                queued.remove(id);
                admission.remove(nowMs, id, -1);
              });
    }

    private void withdrawOccasionally() {
      if (random.nextInt(5) > 0) {
        return;
      }
      List<PendingAttempt> withdrawn = admission.withdrawQueue(nowMs);
      assertThat(withdrawn).containsExactlyInAnyOrderElementsOf(queued.values());
      queued.clear();
    }
  }
}
