package org.sequoiareach.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineSimulatorTest {

  private static final double FAR_FUTURE_MS = 1e9;
  private static final StepSettings TEN_MS_STEPS = new StepSettings(10, 0, 0, 0, 1_000, 8);
  private static final EngineSettings SETTINGS =
      EngineSettings.of("e1", "m")
          .withSteps(TEN_MS_STEPS)
          .withReports(new ReportSettings(0, 0, 0))
          .withLifecycle(new LifecycleSettings(3, 1_000, 500, true));

  @ParameterizedTest
  @CsvSource({
    // base, sequence, context, prefill, chunk, prompt tokens, ms to the first token
    "10, 0, 0, 0,   1000, 8, 10",
    "10, 2, 0, 0,   1000, 8, 12",
    "10, 2, 1, 0,   1000, 8, 20",
    "10, 0, 0, 0.5, 1000, 8, 14",
    "10, 0, 0, 0.5, 4,    8, 24",
  })
  void addsUpTheCostsOfStep(
      double base,
      double sequence,
      double context,
      double prefill,
      int chunk,
      int promptTokens,
      double firstTokenMs) {
    StepSettings steps = new StepSettings(base, sequence, context, prefill, chunk, 8);
    EngineSimulator simulator = new EngineSimulator(SETTINGS.withSteps(steps), 0);
    simulator.submit(request("a", 0, promptTokens, 1), 0);
    simulator.advance(FAR_FUTURE_MS);
    assertThat(recordOf(simulator, "a").firstTokenMs()).isCloseTo(firstTokenMs, within(1e-9));
  }

  @Test
  void addsGenerationThatArrivesDuringStepToBatch() {
    EngineSimulator simulator = new EngineSimulator(SETTINGS, 0);
    simulator.submit(request("a", 0, 1, 3), 0);
    simulator.submit(request("b", 0, 1, 3), 5);
    simulator.advance(40);
    assertThat(recordOf(simulator, "a").state()).isEqualTo(GenerationState.FINISHED);
    assertThat(recordOf(simulator, "b").firstTokenMs()).isEqualTo(15);
    assertThat(recordOf(simulator, "b").tokens()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({"0, 1, b", "1, 0, a", "0, 0, b"})
  void preemptsLastInSchedulingOrder(int firstPriority, int secondPriority, String victim) {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withMemory(new MemorySettings(4, 4)), 0);
    simulator.submit(request("a", firstPriority, 3, 9), 0);
    simulator.submit(request("b", secondPriority, 3, 9), 0);
    simulator.advance(FAR_FUTURE_MS);
    for (String id : List.of("a", "b")) {
      GenerationRecord found = recordOf(simulator, id);
      assertThat(found.state()).isEqualTo(GenerationState.FINISHED);
      assertThat(found.tokens()).isEqualTo(9);
      assertThat(found.preemptions() > 0).isEqualTo(id.equals(victim));
      assertThat(found.stallMs() > 10).isEqualTo(id.equals(victim));
    }
  }

  @Test
  void recomputesContextAfterPreemption() {
    StepSettings steps = new StepSettings(10, 0, 0, 1, 1_000, 8);
    MemorySettings memory = new MemorySettings(4, 4);
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withSteps(steps).withMemory(memory), 0);
    simulator.submit(request("a", 0, 3, 9), 0);
    simulator.submit(request("b", 0, 3, 9), 0);
    simulator.advance(FAR_FUTURE_MS);
    // The first generation ends 40 ms after the preemption; recomputing 3 + 4 tokens takes 17 ms.
    assertThat(recordOf(simulator, "b").preemptions()).isEqualTo(1);
    assertThat(recordOf(simulator, "b").stallMs()).isEqualTo(57);
  }

  @Test
  void reusesCachedPromptBlocks() {
    StepSettings steps = new StepSettings(10, 0, 0, 1, 10_000, 8);
    EngineSimulator simulator = new EngineSimulator(SETTINGS.withSteps(steps), 0);
    simulator.submit(request("a", 0, 64, 1), 0);
    simulator.advance(100);
    simulator.submit(request("b", 0, 64, 1), 100);
    simulator.advance(FAR_FUTURE_MS);
    assertThat(recordOf(simulator, "a").firstTokenMs()).isEqualTo(74);
    assertThat(recordOf(simulator, "b").firstTokenMs()).isEqualTo(11);
    assertThat(simulator.toRecord().prefixHitBlocks()).isEqualTo(4);
    assertThat(simulator.blockPool().usedBlocks()).isZero();
  }

  @Test
  void evictsLeastRecentlyUsedPrompt() {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withMemory(new MemorySettings(3, 4)), 0);
    submitAndFinish(simulator, "a", "x".repeat(16));
    submitAndFinish(simulator, "b", "y".repeat(16));
    submitAndFinish(simulator, "c", "z".repeat(16));
    List<String> removed = new ArrayList<>();
    simulator.drainCacheEvents(FAR_FUTURE_MS).forEach(event -> removed.addAll(event.removed()));
    assertThat(removed).first().isEqualTo(PromptBlocks.digests("m", "x".repeat(16), 4).get(0));
    assertThat(simulator.blockPool().allocatedBlocks()).isLessThanOrEqualTo(3);
  }

  @Test
  void losesShareOfCacheEvents() {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withReports(new ReportSettings(0, 50, 0.5)), 0);
    for (int i = 0; i < 100; i++) {
      submitAndFinish(simulator, "g" + i, "p" + i + "x".repeat(64));
    }
    List<Long> seqs =
        simulator.drainCacheEvents(FAR_FUTURE_MS).stream().map(CacheEvent::seq).toList();
    assertThat(seqs).isSorted().doesNotHaveDuplicates().hasSizeBetween(20, 80);
    assertThat(seqs.get(seqs.size() - 1)).isGreaterThan(seqs.size());
  }

  @Test
  void delaysLoadReports() {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withReports(new ReportSettings(100, 0, 0)), 0);
    simulator.submit(request("a", 0, 1, 1_000), 200);
    assertThat(simulator.load(299).running() + simulator.load(299).waiting()).isZero();
    assertThat(simulator.load(300).running()).isEqualTo(1);
    simulator.setFaults(faults("loadLagMs"), 1_000);
    assertThat(simulator.load(1_500).generatedTokens()).isEqualTo(50);
  }

  @Test
  void rejectsGenerationWhenQueueIsFull() {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withSteps(new StepSettings(10, 0, 0, 0, 100, 1)), 0);
    for (int i = 0; i < 4; i++) {
      assertThat(simulator.submit(request("g" + i, 0, 1, 5), 0))
          .isEqualTo(SubmissionResult.ACCEPTED);
    }
    assertThat(simulator.submit(request("late", 0, 1, 5), 0)).isEqualTo(SubmissionResult.FULL);
    assertThat(simulator.submit(request("g1", 0, 1, 5), 0)).isEqualTo(SubmissionResult.DUPLICATE);
    assertThat(simulator.toRecord().refused()).isEqualTo(1);
  }

  @Test
  void schedulesByPriorityThenArrival() {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withSteps(new StepSettings(10, 0, 0, 0, 100, 1)), 0);
    simulator.submit(request("first", 5, 1, 1), 0);
    simulator.submit(request("low", 5, 1, 1), 1);
    simulator.submit(request("high", 1, 1, 1), 2);
    simulator.advance(FAR_FUTURE_MS);
    assertThat(recordOf(simulator, "high").firstTokenMs()).isEqualTo(18);
    assertThat(recordOf(simulator, "low").firstTokenMs()).isEqualTo(29);
  }

  @Test
  void retainsOutputForConfiguredTime() {
    EngineSimulator simulator = new EngineSimulator(SETTINGS, 0);
    simulator.submit(request("a", 0, 1, 1), 0);
    assertThat(simulator.find("a", 1_010)).isPresent();
    assertThat(simulator.find("a", 1_011)).isEmpty();
    assertThat(simulator.submit(request("a", 0, 1, 1), 1_011))
        .isEqualTo(SubmissionResult.DUPLICATE);
  }

  @ParameterizedTest
  @ValueSource(ints = {49, 50, 51})
  void finishesGenerationsBeforeReclaimDeadline(int tokens) {
    EngineSimulator simulator = new EngineSimulator(SETTINGS, 0);
    simulator.submit(request("a", 0, 1, tokens), 0);
    simulator.setFaults(faults("leaving"), 0);
    assertThat(simulator.submit(request("b", 0, 1, 1), 1)).isEqualTo(SubmissionResult.LEAVING);
    simulator.advance(FAR_FUTURE_MS);
    assertThat(recordOf(simulator, "a").state())
        .isEqualTo(tokens <= 50 ? GenerationState.FINISHED : GenerationState.DIED);
    assertThat(simulator.isDown()).isTrue();
    assertThat(simulator.find("a", FAR_FUTURE_MS)).isEmpty();
    simulator.setFaults(EngineFaults.NONE, FAR_FUTURE_MS);
    assertThat(simulator.submit(request("a", 0, 1, 1), FAR_FUTURE_MS))
        .isEqualTo(SubmissionResult.ACCEPTED);
    assertThat(recordOf(simulator, "a").timesCreated()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"slowdownFactor, 30", "stalledMs, 170", "none, 20"})
  void delaysTokensBySlowdownOrStall(String fault, double secondTokenMs) {
    EngineSimulator simulator = new EngineSimulator(SETTINGS, 0);
    simulator.submit(request("a", 0, 1, 2), 0);
    simulator.setFaults(faults(fault), 5);
    assertThat(simulator.load(secondTokenMs - 1).generatedTokens()).isEqualTo(1);
    assertThat(simulator.load(secondTokenMs).generatedTokens()).isEqualTo(2);
  }

  @Test
  void replacesStallWhenFaultsAreSetAgain() {
    EngineSimulator simulator = new EngineSimulator(SETTINGS, 0);
    simulator.submit(request("a", 0, 1, 1), 0);
    simulator.setFaults(faults("stalledMs"), 4);
    simulator.submit(request("b", 0, 1, 1), 50);
    simulator.setFaults(EngineFaults.NONE, 100);
    simulator.advance(FAR_FUTURE_MS);
    assertThat(recordOf(simulator, "a").firstTokenMs()).isEqualTo(106);
    assertThat(recordOf(simulator, "b").firstTokenMs()).isEqualTo(66);
  }

  @ParameterizedTest
  @CsvSource({"100, 20, 20, length", "10, 20, 10, stop", "1000, 2000, 61, length"})
  void limitsOutputLength(int requested, int maxTokens, int tokens, String reason) {
    EngineSimulator simulator =
        new EngineSimulator(SETTINGS.withMemory(new MemorySettings(16, 4)), 0);
    GenerationRequest request =
        new GenerationRequest(
            "a", "m", "x".repeat(12), OptionalInt.of(maxTokens), 0, "a", OptionalInt.of(requested));
    simulator.submit(request, 0);
    Generation generation = simulator.find("a", 0).orElseThrow();
    simulator.advance(FAR_FUTURE_MS);
    assertThat(generation.tokens).isEqualTo(tokens);
    assertThat(generation.finishReason()).isEqualTo(reason);
  }

  @Test
  void derivesHeavyTailedLengthFromPrompt() {
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      GenerationRequest request =
          new GenerationRequest(
              "a", "m", "prompt " + i, OptionalInt.empty(), 0, "a", OptionalInt.empty());
      int length = AnswerLength.resolve(request, AnswerSettings.DEFAULT, 100_000).tokens();
      assertThat(AnswerLength.resolve(request, AnswerSettings.DEFAULT, 100_000).tokens())
          .isEqualTo(length);
      lengths.add(length);
    }
    lengths.sort(null);
    assertThat(lengths.get(1_000)).isBetween(105, 135);
    assertThat(lengths.get(1_980)).isGreaterThan(2_000);
  }

  private static EngineFaults faults(String name) {
    return new EngineFaults(
        name.equals("slowdownFactor") ? 2 : 1,
        name.equals("stalledMs") ? 150 : 0,
        0,
        0,
        false,
        0,
        name.equals("loadLagMs") ? OptionalLong.of(800) : OptionalLong.empty(),
        name.equals("leaving"),
        false);
  }

  private static void submitAndFinish(EngineSimulator simulator, String id, String prompt) {
    double nowMs = simulator.nextEventMs().orElse(0);
    GenerationRequest request =
        new GenerationRequest(id, "m", prompt, OptionalInt.empty(), 0, id, OptionalInt.of(1));
    assertThat(simulator.submit(request, nowMs)).isEqualTo(SubmissionResult.ACCEPTED);
    while (simulator.nextEventMs().isPresent()) {
      simulator.advance(simulator.nextEventMs().getAsDouble());
    }
  }

  private static GenerationRequest request(String id, int priority, int promptTokens, int tokens) {
    return new GenerationRequest(
        id,
        "m",
        "x".repeat(promptTokens * 4),
        OptionalInt.empty(),
        priority,
        id,
        OptionalInt.of(tokens));
  }

  private static GenerationRecord recordOf(EngineSimulator simulator, String id) {
    return simulator.toRecord().generations().get(id);
  }
}
