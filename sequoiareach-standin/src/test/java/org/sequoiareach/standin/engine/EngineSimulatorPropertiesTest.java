package org.sequoiareach.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

class EngineSimulatorPropertiesTest {

  private static final double CHECK_INTERVAL_MS = 3;
  private static final int BLOCK_TOKENS = 4;
  private static final StepSettings STEPS = new StepSettings(3, 0.5, 0.01, 0.1, 24, 6);

  @Property(tries = 300, seed = "20261203")
  void accountsForEveryBlockAndToken(
      @ForAll("submissions") List<Submission> submissions,
      @ForAll @IntRange(min = 20, max = 60) int memoryBlocks) {
    EngineSimulator simulator = simulator(memoryBlocks);
    Map<String, Integer> tokens = new HashMap<>();
    double nowMs = 0;
    for (int i = 0; i < submissions.size(); i++) {
      Submission submission = submissions.get(i);
      assertThat(simulator.submit(submission.toRequest("g" + i), nowMs))
          .isEqualTo(SubmissionResult.ACCEPTED);
      for (double untilMs = nowMs + submission.pauseMs();
          nowMs < untilMs;
          nowMs += CHECK_INTERVAL_MS) {
        advanceAndCheck(simulator, tokens, nowMs);
      }
      advanceAndCheck(simulator, tokens, nowMs);
      if (submission.cancelled()) {
        assertThat(simulator.cancel("g" + i, nowMs)).isTrue();
      }
    }
    runToCompletion(simulator, tokens);
    for (int i = 0; i < submissions.size(); i++) {
      GenerationRecord found = simulator.toRecord().generations().get("g" + i);
      if (found.state() != GenerationState.CANCELLED) {
        assertThat(found.state()).isEqualTo(GenerationState.FINISHED);
        assertThat(found.tokens()).isEqualTo(submissions.get(i).answerTokens());
      }
    }
    assertThat(simulator.blockPool().usedBlocks()).isZero();
  }

  @Property(tries = 100, seed = "20261203")
  void doesNotPreemptWithSufficientBlocks(@ForAll("submissions") List<Submission> submissions) {
    int enough = submissions.stream().mapToInt(Submission::blocks).sum();
    EngineSimulator simulator = simulator(enough + submissions.size() + 1);
    Map<String, Integer> tokens = new HashMap<>();
    for (int i = 0; i < submissions.size(); i++) {
      simulator.submit(submissions.get(i).toRequest("g" + i), i);
      advanceAndCheck(simulator, tokens, i);
    }
    runToCompletion(simulator, tokens);
    assertThat(simulator.toRecord().preemptions()).isZero();
    assertThat(simulator.toRecord().stallMs()).isZero();
  }

  @Provide
  Arbitrary<List<Submission>> submissions() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 40),
            Arbitraries.integers().between(1, 39),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 60),
            Arbitraries.integers().between(0, 9))
        .as(
            (prompt, answer, priority, pauseMs, cancelDraw) ->
                new Submission(prompt, answer, priority, pauseMs, cancelDraw == 0))
        .list()
        .ofMinSize(1)
        .ofMaxSize(25);
  }

  private static EngineSimulator simulator(int memoryBlocks) {
    return new EngineSimulator(
        EngineSettings.of("e1", "m")
            .withSteps(STEPS)
            .withMemory(new MemorySettings(memoryBlocks, BLOCK_TOKENS)),
        0);
  }

  private static void runToCompletion(EngineSimulator simulator, Map<String, Integer> tokens) {
    while (simulator.nextEventMs().isPresent()) {
      advanceAndCheck(simulator, tokens, simulator.nextEventMs().getAsDouble());
    }
  }

  private static void advanceAndCheck(
      EngineSimulator simulator, Map<String, Integer> tokens, double nowMs) {
    simulator.advance(nowMs);
    BlockPool blockPool = simulator.blockPool();
    assertThat(blockPool.allocatedBlocks()).isBetween(0, blockPool.totalBlocks());
    EngineRecord record = simulator.toRecord();
    assertThat(blockPool.usedBlocks()).isEqualTo(countBlocks(simulator, record, nowMs));
    record
        .generations()
        .forEach(
            (id, found) -> {
              int before = tokens.getOrDefault(id, 0);
              // A step takes at least 3 ms, so at most one step ends between two checks.
              assertThat(found.tokens()).isBetween(before, before + 1);
              tokens.put(id, found.tokens());
            });
  }

  private static int countBlocks(EngineSimulator simulator, EngineRecord record, double nowMs) {
    Set<String> shared = new HashSet<>();
    int own = 0;
    for (String id : record.generations().keySet()) {
      Optional<Generation> found = simulator.find(id, nowMs);
      own += found.map(generation -> generation.privateBlocks).orElse(0);
      found.ifPresent(generation -> shared.addAll(generation.sharedBlocks));
    }
    return own + shared.size();
  }

  /** Describes one generation to submit and the pause in milliseconds after it. */
  record Submission(
      int promptTokens, int answerTokens, int priority, int pauseMs, boolean cancelled) {

    GenerationRequest toRequest(String id) {
      // Prompts of equal length are equal, so that some blocks are shared.
      return new GenerationRequest(
          id,
          "m",
          "x".repeat(promptTokens * 4),
          OptionalInt.empty(),
          priority,
          id,
          OptionalInt.of(answerTokens));
    }

    int blocks() {
      return (promptTokens + answerTokens + BLOCK_TOKENS) / BLOCK_TOKENS;
    }
  }
}
