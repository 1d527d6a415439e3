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

class EngineModelPropertiesTest {

  private static final double MS_BETWEEN_CHECKS = 3;
  private static final int BLOCK_TOKENS = 4;
  private static final StepSettings STEPS = new StepSettings(3, 0.5, 0.01, 0.1, 24, 6);

  @Property(tries = 300, seed = "20261203")
  void keepsItsMemoryAndEveryToken(
      @ForAll("works") List<Work> works, @ForAll @IntRange(min = 20, max = 60) int memoryBlocks) {
    EngineModel model = model(memoryBlocks);
    Map<String, Integer> tokens = new HashMap<>();
    double nowMs = 0;
    for (int i = 0; i < works.size(); i++) {
      Work work = works.get(i);
      assertThat(model.submit(work.toRequest("g" + i), nowMs)).isEqualTo(Admission.ACCEPTED);
      for (double untilMs = nowMs + work.pauseMs(); nowMs < untilMs; nowMs += MS_BETWEEN_CHECKS) {
        check(model, tokens, nowMs);
      }
      check(model, tokens, nowMs);
      if (work.cancelled()) {
        assertThat(model.cancel("g" + i, nowMs)).isTrue();
      }
    }
    finish(model, tokens);
    for (int i = 0; i < works.size(); i++) {
      GenerationRecord found = model.toRecord().generations().get("g" + i);
      if (found.state() != GenerationState.CANCELLED) {
        assertThat(found.state()).isEqualTo(GenerationState.FINISHED);
        assertThat(found.tokens()).isEqualTo(works.get(i).answerTokens());
      }
    }
    assertThat(model.memory().usedBlocks()).isZero();
  }

  @Property(tries = 100, seed = "20261203")
  void preemptsOnlyWhenMemoryIsShort(@ForAll("works") List<Work> works) {
    int enough = works.stream().mapToInt(Work::blocks).sum();
    EngineModel model = model(enough + works.size() + 1);
    Map<String, Integer> tokens = new HashMap<>();
    for (int i = 0; i < works.size(); i++) {
      model.submit(works.get(i).toRequest("g" + i), i);
      check(model, tokens, i);
    }
    finish(model, tokens);
    assertThat(model.toRecord().preemptions()).isZero();
    assertThat(model.toRecord().stallMs()).isZero();
  }

  @Provide
  Arbitrary<List<Work>> works() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 40),
            Arbitraries.integers().between(1, 39),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 60),
            Arbitraries.integers().between(0, 9))
        .as(
            (prompt, answer, priority, pauseMs, die) ->
                new Work(prompt, answer, priority, pauseMs, die == 0))
        .list()
        .ofMinSize(1)
        .ofMaxSize(25);
  }

  private static EngineModel model(int memoryBlocks) {
    return new EngineModel(
        EngineSettings.of("e1", "m")
            .withSteps(STEPS)
            .withMemory(new MemorySettings(memoryBlocks, BLOCK_TOKENS)),
        0);
  }

  private static void finish(EngineModel model, Map<String, Integer> tokens) {
    while (model.nextEventMs().isPresent()) {
      check(model, tokens, model.nextEventMs().getAsDouble());
    }
  }

  private static void check(EngineModel model, Map<String, Integer> tokens, double nowMs) {
    model.advance(nowMs);
    BlockMemory memory = model.memory();
    assertThat(memory.heldBlocks()).isBetween(0, memory.totalBlocks());
    EngineRecord record = model.toRecord();
    assertThat(memory.usedBlocks()).isEqualTo(countBlocks(model, record, nowMs));
    record
        .generations()
        .forEach(
            (id, found) -> {
              int before = tokens.getOrDefault(id, 0);
              // Steps take 3 ms at least, so there is at most one between two checks.
              assertThat(found.tokens()).isBetween(before, before + 1);
              tokens.put(id, found.tokens());
            });
  }

  private static int countBlocks(EngineModel model, EngineRecord record, double nowMs) {
    Set<String> shared = new HashSet<>();
    int own = 0;
    for (String id : record.generations().keySet()) {
      Optional<Generation> found = model.find(id, nowMs);
      own += found.map(generation -> generation.ownBlocks).orElse(0);
      found.ifPresent(generation -> shared.addAll(generation.sharedBlocks));
    }
    return own + shared.size();
  }

  /** Describes one generation to submit, and the pause after it. */
  record Work(int promptTokens, int answerTokens, int priority, int pauseMs, boolean cancelled) {

    CompletionRequest toRequest(String id) {
      // Prompts of the same length are the same, so that some blocks are shared.
      return new CompletionRequest(
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
