package org.sequoiareach.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sequoiareach.model.platform.EngineLoad;

/**
 * Simulates the scheduling and memory use of an inference engine with continuous batching.
 *
 * <p>The batch advances in steps. In each step every sequence whose context is prefilled gains one
 * token, and pending contexts are prefilled in chunks. A sequence allocates KV cache blocks as it
 * grows; when none is available, the generation last in scheduling order is preempted: it frees its
 * blocks and its context is recomputed later, so its tokens are delayed but neither lost nor
 * repeated.
 *
 * <p>Methods take the current time in milliseconds, which must not decrease between calls. Not
 * thread-safe.
 */
final class EngineSimulator {

  private static final int MAX_TRACKED_GENERATIONS = 200_000;
  // Keeps 1/100 of the blocks free on admission, so that a new sequence is not preempted at once.
  private static final int FREE_BLOCK_RESERVE_DIVISOR = 100;

  private final EngineSettings settings;
  private final LaggedEngineReports reports;
  private final TreeSet<Generation> waiting = new TreeSet<>(Generation.SCHEDULING_ORDER);
  private final TreeSet<Generation> batch = new TreeSet<>(Generation.SCHEDULING_ORDER);
  private final LinkedHashMap<String, Generation> generations = new LinkedHashMap<>();
  private final EngineOrderHandler orders;
  private BlockPool blockPool;
  private EngineFaults faults = EngineFaults.NONE;
  private int dieBeforeFirstToken;
  private boolean stepping;
  private double stepStartMs;
  private double stepEndMs;
  private double stalledUntilMs;
  private double reclaimAtMs = Double.MAX_VALUE;
  private double lastStepMs;
  private double lastCrashMs = -Double.MAX_VALUE;
  private boolean down;
  private long arrivals;
  private long refused;
  private long preemptions;
  private long generatedTokens;
  private long prefixHitsBeforeCrash;

  EngineSimulator(EngineSettings settings, double nowMs) {
    this.settings = settings;
    this.reports = new LaggedEngineReports(settings.reports(), settings.answers().seed());
    this.orders = new EngineOrderHandler(settings.models(), settings.life().checksFence());
    this.blockPool = new BlockPool(settings.memory().memoryBlocks());
    recordReports(nowMs);
  }

  /** Accepts or rejects a generation. */
  SubmissionResult submit(GenerationRequest request, double nowMs) {
    advance(nowMs);
    SubmissionResult result = checkSubmission(request);
    if (result != SubmissionResult.ACCEPTED) {
      refused += result.status() == 503 ? 1 : 0;
      return result;
    }
    Generation generation =
        new Generation(
            request,
            ++arrivals,
            nowMs,
            AnswerLength.resolve(request, settings.answers(), contextLimit()),
            dieBeforeFirstToken > 0);
    dieBeforeFirstToken = Math.max(0, dieBeforeFirstToken - 1);
    generation.promptBlocks =
        PromptBlocks.digests(request.model(), request.prompt(), settings.memory().blockTokens());
    Optional.ofNullable(generations.put(request.id(), generation))
        .ifPresent(earlier -> generation.timesCreated += earlier.timesCreated);
    evictOldestEnded();
    waiting.add(generation);
    startStep(nowMs);
    recordReports(nowMs);
    return result;
  }

  /** Finds a generation that is unfinished or whose output is still retained. */
  Optional<Generation> find(String id, double nowMs) {
    advance(nowMs);
    return Optional.ofNullable(generations.get(id))
        .filter(generation -> isAvailable(generation, nowMs));
  }

  /** Cancels a generation and returns whether it exists. */
  boolean cancel(String id, double nowMs) {
    Optional<Generation> found = find(id, nowMs);
    found
        .filter(generation -> !generation.state.ended())
        .ifPresent(generation -> end(generation, GenerationState.CANCELLED, nowMs));
    return found.isPresent();
  }

  /** Applies fault switches. */
  void setFaults(EngineFaults switches, double nowMs) {
    advance(nowMs);
    final boolean wasLeaving = faults.leaving();
    faults = switches;
    dieBeforeFirstToken = switches.dieBeforeFirstToken();
    switches.loadLagMs().ifPresent(reports::retainFor);
    setStallEnd(nowMs + switches.stalledMs(), nowMs);
    if (!switches.leaving()) {
      reclaimAtMs = Double.MAX_VALUE;
    } else if (!wasLeaving) {
      reclaimAtMs = nowMs + settings.life().reclaimAfterMs();
    }
    if (switches.down()) {
      crash(nowMs);
    } else if (!switches.leaving()) {
      down = false;
    }
    recordReports(nowMs);
  }

  /** Applies an order and returns whether its fencing token was accepted. */
  boolean order(EngineOrder order, double nowMs) {
    advance(nowMs);
    boolean accepted = orders.apply(order);
    recordReports(nowMs);
    return accepted;
  }

  /** Runs all steps that end at or before the given time. */
  void advance(double nowMs) {
    while (stepping && stepEndMs <= Math.min(nowMs, reclaimAtMs)) {
      finishStep(stepEndMs);
      startStep(stepEndMs);
    }
    if (reclaimAtMs <= nowMs && !down) {
      crash(reclaimAtMs);
      recordReports(reclaimAtMs);
    }
  }

  /** Returns the time of the next step end or reclaim; empty while the engine is idle. */
  OptionalDouble nextEventMs() {
    double next =
        Math.min(stepping ? stepEndMs : Double.MAX_VALUE, down ? Double.MAX_VALUE : reclaimAtMs);
    return next == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(next);
  }

  boolean isDown() {
    return down;
  }

  EngineLoad load(double nowMs) {
    advance(nowMs);
    return reports.load(nowMs, faults.loadLagMs().orElse(settings.reports().loadLagMs()));
  }

  List<CacheEvent> drainCacheEvents(double nowMs) {
    return reports.drainCacheEvents(nowMs);
  }

  BlockPool blockPool() {
    return blockPool;
  }

  EngineRecord toRecord() {
    Map<String, GenerationRecord> records = new TreeMap<>();
    generations.forEach((id, generation) -> records.put(id, generation.toRecord()));
    double stallMs = generations.values().stream().mapToDouble(item -> item.stallMs).sum();
    return new EngineRecord(
        settings.id(),
        arrivals,
        refused,
        generatedTokens,
        preemptions,
        stallMs,
        prefixHitsBeforeCrash + blockPool.prefixHits(),
        orders.greatestFence(),
        orders.accepted(),
        orders.refusedCount(),
        records);
  }

  /** Replaces a stall in progress; a time that is not in the future ends it. */
  private void setStallEnd(double untilMs, double nowMs) {
    stepEndMs += untilMs - Math.max(nowMs, stalledUntilMs);
    stalledUntilMs = untilMs;
  }

  private SubmissionResult checkSubmission(GenerationRequest request) {
    if (down) {
      return SubmissionResult.DOWN;
    }
    Generation existing = generations.get(request.id());
    if (existing != null && !isLostInCrash(existing)) {
      existing.duplicatesRefused++;
      return SubmissionResult.DUPLICATE;
    }
    if (faults.leaving()) {
      return SubmissionResult.LEAVING;
    }
    if (faults.refuse()) {
      return SubmissionResult.REFUSED;
    }
    if (!orders.models().contains(request.model())) {
      return SubmissionResult.UNKNOWN_MODEL;
    }
    if (request.promptTokens() >= contextLimit()) {
      return SubmissionResult.TOO_LONG;
    }
    boolean full = waiting.size() >= settings.life().queueLimit();
    return full ? SubmissionResult.FULL : SubmissionResult.ACCEPTED;
  }

  private long contextLimit() {
    MemorySettings sizes = settings.memory();
    return (long) sizes.memoryBlocks() * sizes.blockTokens();
  }

  private boolean isAvailable(Generation generation, double nowMs) {
    if (down || isLostInCrash(generation)) {
      return false;
    }
    return switch (generation.state) {
      case CANCELLED, DIED -> false;
      case FINISHED -> nowMs <= generation.endedMs + settings.life().keepAnswerMs();
      case WAITING, RUNNING, PREEMPTED -> true;
    };
  }

  private boolean isLostInCrash(Generation generation) {
    return generation.arrivedMs < lastCrashMs;
  }

  private void startStep(double nowMs) {
    if (stepping || down) {
      return;
    }
    if (allocateNextTokens()) {
      admitWaiting();
    }
    if (batch.isEmpty()) {
      return;
    }
    stepping = true;
    stepStartMs = nowMs;
    stepEndMs = Math.max(nowMs, stalledUntilMs) + faults.slowdownFactor() * scheduleStep();
  }

  private void admitWaiting() {
    while (!waiting.isEmpty() && batch.size() < settings.steps().maxBatch()) {
      Generation first = waiting.first();
      int reserve = batch.isEmpty() ? 0 : 1 + blockPool.totalBlocks() / FREE_BLOCK_RESERVE_DIVISOR;
      if (!blockPool.tryAllocate(first, settings.memory(), reserve)) {
        return;
      }
      waiting.remove(first);
      first.state = GenerationState.RUNNING;
      batch.add(first);
    }
  }

  /**
   * Allocates the block of the next token to each generation that needs one, and preempts the last
   * generations in scheduling order while none is available.
   *
   * @return whether no generation was preempted
   */
  private boolean allocateNextTokens() {
    long before = preemptions;
    for (Generation generation : List.copyOf(batch)) {
      boolean fits = generation.state == GenerationState.RUNNING && !needsBlock(generation);
      while (generation.state == GenerationState.RUNNING && !fits) {
        fits = blockPool.tryAllocateNext(generation);
        if (!fits) {
          preempt(batch.last());
        }
      }
    }
    return preemptions == before;
  }

  private boolean needsBlock(Generation generation) {
    int needed = settings.memory().blocksFor(generation.contextTokens() + 1L);
    return generation.blockCount() < needed;
  }

  private void preempt(Generation generation) {
    batch.remove(generation);
    blockPool.free(generation);
    generation.preempt();
    waiting.add(generation);
    preemptions++;
  }

  private double scheduleStep() {
    StepSettings times = settings.steps();
    int budget = times.prefillChunkTokens();
    long contextTokens = 0;
    int sequences = 0;
    for (Generation generation : batch) {
      generation.stepPrefillTokens = Math.min(budget, generation.remainingPrefillTokens);
      budget -= generation.stepPrefillTokens;
      boolean active = !generation.isPrefilling() || generation.stepPrefillTokens > 0;
      sequences += active ? 1 : 0;
      contextTokens += active ? generation.contextTokens() : 0;
    }
    int prefilled = times.prefillChunkTokens() - budget;
    return times.stepBaseMs()
        + times.stepPerSequenceMs() * sequences
        + times.stepPerContextTokenMs() * contextTokens
        + times.prefillPerTokenMs() * prefilled;
  }

  private void finishStep(double nowMs) {
    stepping = false;
    lastStepMs = nowMs - stepStartMs;
    for (Generation generation : new ArrayList<>(batch)) {
      completeStep(generation, nowMs);
    }
    recordReports(nowMs);
  }

  private void completeStep(Generation generation, double nowMs) {
    if (generation.isPrefilling()) {
      generation.remainingPrefillTokens -= generation.stepPrefillTokens;
      if (generation.isPrefilling()) {
        return;
      }
      blockPool.cachePrompt(generation);
    }
    if (generation.diesBeforeFirstToken) {
      end(generation, GenerationState.DIED, nowMs);
      return;
    }
    generation.addToken(nowMs);
    generatedTokens++;
    if (generation.tokens >= generation.answerTokens) {
      end(generation, GenerationState.FINISHED, nowMs);
    } else if (faults.dieAfterTokens() > 0 && generation.tokens >= faults.dieAfterTokens()) {
      end(generation, GenerationState.DIED, nowMs);
    }
  }

  private void end(Generation generation, GenerationState finalState, double nowMs) {
    batch.remove(generation);
    waiting.remove(generation);
    blockPool.free(generation);
    generation.end(finalState, nowMs);
  }

  private void crash(double nowMs) {
    List<Generation> unfinished = new ArrayList<>(batch);
    unfinished.addAll(waiting);
    unfinished.forEach(generation -> end(generation, GenerationState.DIED, nowMs));
    prefixHitsBeforeCrash += blockPool.prefixHits();
    blockPool = new BlockPool(settings.memory().memoryBlocks());
    stepping = false;
    down = true;
    lastCrashMs = nowMs;
  }

  private void evictOldestEnded() {
    if (generations.size() > MAX_TRACKED_GENERATIONS) {
      generations.values().stream()
          .filter(generation -> generation.state.ended())
          .findFirst()
          .ifPresent(generation -> generations.remove(generation.request.id()));
    }
  }

  private void recordReports(double nowMs) {
    reports.addCacheChange(blockPool.drainChanges(), nowMs);
    reports.addLoad(
        new EngineLoad(
            blockPool.totalBlocks(),
            blockPool.usedBlocks(),
            settings.memory().blockTokens(),
            batch.size(),
            waiting.size(),
            preemptions,
            generatedTokens,
            lastStepMs,
            faults.leaving(),
            orders.models()),
        nowMs);
  }
}
