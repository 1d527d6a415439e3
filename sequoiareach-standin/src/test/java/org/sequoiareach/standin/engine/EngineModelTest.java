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
class EngineModelTest {

  private static final double FAR_MS = 1e9;
  private static final StepSettings TEN_MS_STEPS = new StepSettings(10, 0, 0, 0, 1_000, 8);
  private static final EngineSettings SETTINGS =
      EngineSettings.of("e1", "m")
          .withSteps(TEN_MS_STEPS)
          .withReports(new ReportSettings(0, 0, 0))
          .withLife(new LifeSettings(3, 1_000, 500, true));

  @ParameterizedTest
  @CsvSource({
    // base, sequence, context, prefill, chunk, prompt tokens, ms to the first token
    "10, 0, 0, 0,   1000, 8, 10",
    "10, 2, 0, 0,   1000, 8, 12",
    "10, 2, 1, 0,   1000, 8, 20",
    "10, 0, 0, 0.5, 1000, 8, 14",
    "10, 0, 0, 0.5, 4,    8, 24",
  })
  void addsTheCostsOfStep(
      double base,
      double sequence,
      double context,
      double prefill,
      int chunk,
      int promptTokens,
      double firstTokenMs) {
    StepSettings steps = new StepSettings(base, sequence, context, prefill, chunk, 8);
    EngineModel model = new EngineModel(SETTINGS.withSteps(steps), 0);
    model.submit(request("a", 0, promptTokens, 1), 0);
    model.advance(FAR_MS);
    assertThat(recordOf(model, "a").firstTokenMs()).isCloseTo(firstTokenMs, within(1e-9));
  }

  @Test
  void batchesWhatArrivesDuringStep() {
    EngineModel model = new EngineModel(SETTINGS, 0);
    model.submit(request("a", 0, 1, 3), 0);
    model.submit(request("b", 0, 1, 3), 5);
    model.advance(40);
    assertThat(recordOf(model, "a").state()).isEqualTo(GenerationState.FINISHED);
    assertThat(recordOf(model, "b").firstTokenMs()).isEqualTo(15);
    assertThat(recordOf(model, "b").tokens()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({"0, 1, b", "1, 0, a", "0, 0, b"})
  void preemptsWhatIsServedLast(int firstPriority, int secondPriority, String victim) {
    EngineModel model = new EngineModel(SETTINGS.withMemory(new MemorySettings(4, 4)), 0);
    model.submit(request("a", firstPriority, 3, 9), 0);
    model.submit(request("b", secondPriority, 3, 9), 0);
    model.advance(FAR_MS);
    for (String id : List.of("a", "b")) {
      GenerationRecord found = recordOf(model, id);
      assertThat(found.state()).isEqualTo(GenerationState.FINISHED);
      assertThat(found.tokens()).isEqualTo(9);
      assertThat(found.preemptions() > 0).isEqualTo(id.equals(victim));
      assertThat(found.stallMs() > 10).isEqualTo(id.equals(victim));
    }
  }

  @Test
  void computesPreemptedContextAgain() {
    StepSettings steps = new StepSettings(10, 0, 0, 1, 1_000, 8);
    MemorySettings memory = new MemorySettings(4, 4);
    EngineModel model = new EngineModel(SETTINGS.withSteps(steps).withMemory(memory), 0);
    model.submit(request("a", 0, 3, 9), 0);
    model.submit(request("b", 0, 3, 9), 0);
    model.advance(FAR_MS);
    // The first ends 40 ms after the preemption; then 3 prompt tokens and 4 others take 17 ms.
    assertThat(recordOf(model, "b").preemptions()).isEqualTo(1);
    assertThat(recordOf(model, "b").stallMs()).isEqualTo(57);
  }

  @Test
  void findsSharedPromptsInTheCache() {
    StepSettings steps = new StepSettings(10, 0, 0, 1, 10_000, 8);
    EngineModel model = new EngineModel(SETTINGS.withSteps(steps), 0);
    model.submit(request("a", 0, 64, 1), 0);
    model.advance(100);
    model.submit(request("b", 0, 64, 1), 100);
    model.advance(FAR_MS);
    assertThat(recordOf(model, "a").firstTokenMs()).isEqualTo(74);
    assertThat(recordOf(model, "b").firstTokenMs()).isEqualTo(11);
    assertThat(model.toRecord().prefixHitBlocks()).isEqualTo(4);
    assertThat(model.memory().usedBlocks()).isZero();
  }

  @Test
  void evictsTheLeastRecentlyUsedPrompt() {
    EngineModel model = new EngineModel(SETTINGS.withMemory(new MemorySettings(3, 4)), 0);
    submitAndFinish(model, "a", "x".repeat(16));
    submitAndFinish(model, "b", "y".repeat(16));
    submitAndFinish(model, "c", "z".repeat(16));
    List<String> removed = new ArrayList<>();
    model.drainCacheEvents(FAR_MS).forEach(event -> removed.addAll(event.removed()));
    assertThat(removed).first().isEqualTo(PromptBlocks.digests("m", "x".repeat(16), 4).get(0));
    assertThat(model.memory().heldBlocks()).isLessThanOrEqualTo(3);
  }

  @Test
  void leavesGapsInCacheEvents() {
    EngineModel model = new EngineModel(SETTINGS.withReports(new ReportSettings(0, 50, 0.5)), 0);
    for (int i = 0; i < 100; i++) {
      submitAndFinish(model, "g" + i, "p" + i + "x".repeat(64));
    }
    List<Long> seqs = model.drainCacheEvents(FAR_MS).stream().map(CacheEvent::seq).toList();
    assertThat(seqs).isSorted().doesNotHaveDuplicates().hasSizeBetween(20, 80);
    assertThat(seqs.get(seqs.size() - 1)).isGreaterThan(seqs.size());
  }

  @Test
  void reportsItsLoadLate() {
    EngineModel model = new EngineModel(SETTINGS.withReports(new ReportSettings(100, 0, 0)), 0);
    model.submit(request("a", 0, 1, 1_000), 200);
    assertThat(model.load(299).running() + model.load(299).waiting()).isZero();
    assertThat(model.load(300).running()).isEqualTo(1);
    model.setFaults(faults("loadLagMs"), 1_000);
    assertThat(model.load(1_500).generatedTokens()).isEqualTo(50);
  }

  @Test
  void refusesBeyondItsQueue() {
    EngineModel model =
        new EngineModel(SETTINGS.withSteps(new StepSettings(10, 0, 0, 0, 100, 1)), 0);
    for (int i = 0; i < 4; i++) {
      assertThat(model.submit(request("g" + i, 0, 1, 5), 0)).isEqualTo(Admission.ACCEPTED);
    }
    assertThat(model.submit(request("late", 0, 1, 5), 0)).isEqualTo(Admission.FULL);
    assertThat(model.submit(request("g1", 0, 1, 5), 0)).isEqualTo(Admission.DUPLICATE);
    assertThat(model.toRecord().refused()).isEqualTo(1);
  }

  @Test
  void servesTheWaitingByPriorityThenArrival() {
    EngineModel model =
        new EngineModel(SETTINGS.withSteps(new StepSettings(10, 0, 0, 0, 100, 1)), 0);
    model.submit(request("first", 5, 1, 1), 0);
    model.submit(request("low", 5, 1, 1), 1);
    model.submit(request("high", 1, 1, 1), 2);
    model.advance(FAR_MS);
    assertThat(recordOf(model, "high").firstTokenMs()).isEqualTo(18);
    assertThat(recordOf(model, "low").firstTokenMs()).isEqualTo(29);
  }

  @Test
  void keepsAnAnswerForSomeTime() {
    EngineModel model = new EngineModel(SETTINGS, 0);
    model.submit(request("a", 0, 1, 1), 0);
    assertThat(model.find("a", 1_010)).isPresent();
    assertThat(model.find("a", 1_011)).isEmpty();
    assertThat(model.submit(request("a", 0, 1, 1), 1_011)).isEqualTo(Admission.DUPLICATE);
  }

  @ParameterizedTest
  @ValueSource(ints = {49, 50, 51})
  void finishesWhatItCanWhileLeaving(int tokens) {
    EngineModel model = new EngineModel(SETTINGS, 0);
    model.submit(request("a", 0, 1, tokens), 0);
    model.setFaults(faults("leaving"), 0);
    assertThat(model.submit(request("b", 0, 1, 1), 1)).isEqualTo(Admission.LEAVING);
    model.advance(FAR_MS);
    assertThat(recordOf(model, "a").state())
        .isEqualTo(tokens <= 50 ? GenerationState.FINISHED : GenerationState.DIED);
    assertThat(model.isDead()).isTrue();
    assertThat(model.find("a", FAR_MS)).isEmpty();
    model.setFaults(EngineFaults.NONE, FAR_MS);
    assertThat(model.submit(request("a", 0, 1, 1), FAR_MS)).isEqualTo(Admission.ACCEPTED);
    assertThat(recordOf(model, "a").timesCreated()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"slowdownFactor, 30", "stalledMs, 170", "none, 20"})
  void slowsDownOrStalls(String fault, double secondTokenMs) {
    EngineModel model = new EngineModel(SETTINGS, 0);
    model.submit(request("a", 0, 1, 2), 0);
    model.setFaults(faults(fault), 5);
    assertThat(model.load(secondTokenMs - 1).generatedTokens()).isEqualTo(1);
    assertThat(model.load(secondTokenMs).generatedTokens()).isEqualTo(2);
  }

  @Test
  void endsStallWhenSwitchesAreSetAnew() {
    EngineModel model = new EngineModel(SETTINGS, 0);
    model.submit(request("a", 0, 1, 1), 0);
    model.setFaults(faults("stalledMs"), 4);
    model.submit(request("b", 0, 1, 1), 50);
    model.setFaults(EngineFaults.NONE, 100);
    model.advance(FAR_MS);
    assertThat(recordOf(model, "a").firstTokenMs()).isEqualTo(106);
    assertThat(recordOf(model, "b").firstTokenMs()).isEqualTo(66);
  }

  @ParameterizedTest
  @CsvSource({"100, 20, 20, length", "10, 20, 10, stop", "1000, 2000, 61, length"})
  void limitsTheLength(int wanted, int maxTokens, int tokens, String reason) {
    EngineModel model = new EngineModel(SETTINGS.withMemory(new MemorySettings(16, 4)), 0);
    CompletionRequest request =
        new CompletionRequest(
            "a", "m", "x".repeat(12), OptionalInt.of(maxTokens), 0, "a", OptionalInt.of(wanted));
    model.submit(request, 0);
    Generation generation = model.find("a", 0).orElseThrow();
    model.advance(FAR_MS);
    assertThat(generation.tokens).isEqualTo(tokens);
    assertThat(generation.finishReason()).isEqualTo(reason);
  }

  @Test
  void drawsHeavyTailedLengthsFromThePrompt() {
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      CompletionRequest request =
          new CompletionRequest(
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

  private static void submitAndFinish(EngineModel model, String id, String prompt) {
    double nowMs = model.nextEventMs().orElse(0);
    CompletionRequest request =
        new CompletionRequest(id, "m", prompt, OptionalInt.empty(), 0, id, OptionalInt.of(1));
    assertThat(model.submit(request, nowMs)).isEqualTo(Admission.ACCEPTED);
    while (model.nextEventMs().isPresent()) {
      model.advance(model.nextEventMs().getAsDouble());
    }
  }

  private static CompletionRequest request(String id, int priority, int promptTokens, int tokens) {
    return new CompletionRequest(
        id,
        "m",
        "x".repeat(promptTokens * 4),
        OptionalInt.empty(),
        priority,
        id,
        OptionalInt.of(tokens));
  }

  private static GenerationRecord recordOf(EngineModel model, String id) {
    return model.toRecord().generations().get(id);
  }
}
