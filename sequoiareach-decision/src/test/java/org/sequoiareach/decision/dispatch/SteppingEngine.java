package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.sequoiareach.decision.fuzz.VirtualClock;

/**
 * Simulates an engine that works in steps: a step decodes a token of each run and prefills a part
 * of the first prompt that waits. At times the engine is slower for a while.
 */
final class SteppingEngine {

  private static final int SLOTS = 24;
  private static final double STEP_MS = 7;
  private static final double RUN_MS = 0.12;
  private static final double PREFILL_TOKENS_PER_MS = 14;
  private static final int CHUNK_TOKENS = 112;
  private static final int TOKENS_PER_EVENT = 4;
  private static final long SPELL_MS = 600;
  private static final double SPELL_SHARE = 0.15;
  private static final double SPELL_RATIO = 2.5;

  private final VirtualClock clock;
  private final SplittableRandom random;
  private final List<Run> runs = new ArrayList<>();
  private final double speed;
  private double preciseMs;
  private long spellEndMs;
  private boolean inSpell;
  private boolean stepping;

  SteppingEngine(VirtualClock clock, SplittableRandom random, double speed) {
    this.clock = clock;
    this.random = random;
    this.speed = speed;
  }

  /** Adds a run whose listener is told of each event and whether it is the last one. */
  void add(int promptTokens, int outputTokens, BiConsumer<Integer, Boolean> onEvent) {
    runs.add(new Run(promptTokens, outputTokens, onEvent));
    if (!stepping) {
      preciseMs = clock.nowMs();
      step();
    }
  }

  private void step() {
    List<Run> active = List.copyOf(runs.subList(0, Math.min(SLOTS, runs.size())));
    stepping = !active.isEmpty();
    if (!stepping) {
      return;
    }
    List<Run> decoding = active.stream().filter(run -> run.promptLeft == 0).toList();
    double durationMs = decoding.isEmpty() ? 0 : STEP_MS + RUN_MS * decoding.size();
    Run reading = active.stream().filter(run -> run.promptLeft > 0).findFirst().orElse(null);
    if (reading != null) {
      int chunk = Math.min(CHUNK_TOKENS, reading.promptLeft);
      reading.promptLeft -= chunk;
      durationMs += chunk / PREFILL_TOKENS_PER_MS;
    }
    preciseMs += durationMs * slowness();
    clock.at(
        Math.round(preciseMs),
        () -> {
          decoding.forEach(this::decode);
          step();
        });
  }

  private double slowness() {
    if (clock.nowMs() >= spellEndMs) {
      spellEndMs = clock.nowMs() + SPELL_MS;
      inSpell = random.nextDouble() < SPELL_SHARE;
    }
    return (inSpell ? SPELL_RATIO : 1) / speed;
  }

  private void decode(Run run) {
    run.produced++;
    boolean last = run.produced == run.output;
    if (last) {
      runs.remove(run);
    }
    if (last || run.produced % TOKENS_PER_EVENT == 0) {
      run.events++;
      run.onEvent.accept(run.events, last);
    }
  }

  private static final class Run {

    private final int output;
    private final BiConsumer<Integer, Boolean> onEvent;
    private int promptLeft;
    private int produced;
    private int events;

    private Run(int prompt, int output, BiConsumer<Integer, Boolean> onEvent) {
      this.promptLeft = prompt;
      this.output = output;
      this.onEvent = onEvent;
    }
  }
}
