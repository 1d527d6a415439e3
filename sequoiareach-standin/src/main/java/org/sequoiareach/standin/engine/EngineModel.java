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
 * Computes what an engine with continuous batching does over time.
 *
 * <p>The batch moves in steps. In each, every sequence whose context is computed gains one token,
 * and waiting contexts are computed in chunks. Memory grows with the tokens; when no block is left,
 * the generation that is served last loses its blocks and is computed again later, so that its
 * tokens stall but are neither lost nor repeated.
 *
 * <p>Time enters with each call, in milliseconds, and must not run backwards. Not thread-safe.
 */
final class EngineModel {

  private static final int MAX_KNOWN = 200_000;
  // A newcomer leaves a hundredth of the memory free, so that it is not preempted at once.
  private static final int ENTRY_RESERVE_DIVISOR = 100;

  private final EngineSettings settings;
  private final EngineReports reports;
  private final TreeSet<Generation> waiting = new TreeSet<>(Generation.SERVICE_ORDER);
  private final TreeSet<Generation> batch = new TreeSet<>(Generation.SERVICE_ORDER);
  private final LinkedHashMap<String, Generation> known = new LinkedHashMap<>();
  private final EngineOrders orders;
  private BlockMemory memory;
  private EngineFaults faults = EngineFaults.NONE;
  private int dieBeforeFirstToken;
  private boolean stepping;
  private double stepStartMs;
  private double stepEndMs;
  private double stalledUntilMs;
  private double reclaimAtMs = Double.MAX_VALUE;
  private double lastStepMs;
  private double forgetBeforeMs = -Double.MAX_VALUE;
  private boolean dead;
  private long arrivals;
  private long refused;
  private long preemptions;
  private long generatedTokens;
  private long earlierPrefixHits;

  EngineModel(EngineSettings settings, double nowMs) {
    this.settings = settings;
    this.reports = new EngineReports(settings.reports(), settings.answers().seed());
    this.orders = new EngineOrders(settings.models(), settings.life().checksFence());
    this.memory = new BlockMemory(settings.memory().memoryBlocks());
    report(nowMs);
  }

  /** Takes or refuses a generation. */
  Admission submit(CompletionRequest request, double nowMs) {
    advance(nowMs);
    Admission admission = judge(request);
    if (admission != Admission.ACCEPTED) {
      refused += admission.status() == 503 ? 1 : 0;
      return admission;
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
    Optional.ofNullable(known.put(request.id(), generation))
        .ifPresent(earlier -> generation.timesCreated += earlier.timesCreated);
    forgetOldest();
    waiting.add(generation);
    startStep(nowMs);
    report(nowMs);
    return admission;
  }

  /** Finds a generation that runs or whose answer is still kept. */
  Optional<Generation> find(String id, double nowMs) {
    advance(nowMs);
    return Optional.ofNullable(known.get(id)).filter(generation -> kept(generation, nowMs));
  }

  /** Cancels a generation; returns whether there is such a one. */
  boolean cancel(String id, double nowMs) {
    Optional<Generation> found = find(id, nowMs);
    found
        .filter(generation -> !generation.state.ended())
        .ifPresent(generation -> end(generation, GenerationState.CANCELLED, nowMs));
    return found.isPresent();
  }

  /** Puts fault switches in force. */
  void setFaults(EngineFaults switches, double nowMs) {
    advance(nowMs);
    final boolean wasLeaving = faults.leaving();
    faults = switches;
    dieBeforeFirstToken = switches.dieBeforeFirstToken();
    switches.loadLagMs().ifPresent(reports::keep);
    stallUntil(nowMs + switches.stalledMs(), nowMs);
    if (!switches.leaving()) {
      reclaimAtMs = Double.MAX_VALUE;
    } else if (!wasLeaving) {
      reclaimAtMs = nowMs + settings.life().reclaimAfterMs();
    }
    if (switches.down()) {
      die(nowMs);
    } else if (!switches.leaving()) {
      dead = false;
    }
    report(nowMs);
  }

  /** Takes an order; returns whether its fencing number allowed it. */
  boolean order(EngineOrder order, double nowMs) {
    advance(nowMs);
    boolean taken = orders.apply(order);
    report(nowMs);
    return taken;
  }

  /** Computes everything up to a time. */
  void advance(double nowMs) {
    while (stepping && stepEndMs <= Math.min(nowMs, reclaimAtMs)) {
      finishStep(stepEndMs);
      startStep(stepEndMs);
    }
    if (reclaimAtMs <= nowMs && !dead) {
      die(reclaimAtMs);
      report(reclaimAtMs);
    }
  }

  /** Returns when something next happens by itself. */
  OptionalDouble nextEventMs() {
    double next =
        Math.min(stepping ? stepEndMs : Double.MAX_VALUE, dead ? Double.MAX_VALUE : reclaimAtMs);
    return next == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(next);
  }

  boolean isDead() {
    return dead;
  }

  EngineLoad load(double nowMs) {
    advance(nowMs);
    return reports.load(nowMs, faults.loadLagMs().orElse(settings.reports().loadLagMs()));
  }

  List<CacheEvent> drainCacheEvents(double nowMs) {
    return reports.drainCacheEvents(nowMs);
  }

  BlockMemory memory() {
    return memory;
  }

  EngineRecord toRecord() {
    Map<String, GenerationRecord> generations = new TreeMap<>();
    known.forEach((id, generation) -> generations.put(id, generation.toRecord()));
    double stallMs = known.values().stream().mapToDouble(item -> item.stallMs).sum();
    return new EngineRecord(
        settings.id(),
        arrivals,
        refused,
        generatedTokens,
        preemptions,
        stallMs,
        earlierPrefixHits + memory.prefixHits(),
        orders.greatestFence(),
        orders.taken(),
        orders.refusedCount(),
        generations);
  }

  /** Replaces the stall that may be in progress by another one, which may be none. */
  private void stallUntil(double untilMs, double nowMs) {
    stepEndMs += untilMs - Math.max(nowMs, stalledUntilMs);
    stalledUntilMs = untilMs;
  }

  private Admission judge(CompletionRequest request) {
    if (dead) {
      return Admission.DEAD;
    }
    Generation same = known.get(request.id());
    if (same != null && !forgotten(same)) {
      same.duplicatesRefused++;
      return Admission.DUPLICATE;
    }
    if (faults.leaving()) {
      return Admission.LEAVING;
    }
    if (faults.refuse()) {
      return Admission.REFUSED;
    }
    if (!orders.models().contains(request.model())) {
      return Admission.UNKNOWN_MODEL;
    }
    if (request.promptTokens() >= contextLimit()) {
      return Admission.TOO_LONG;
    }
    boolean full = waiting.size() >= settings.life().queueLimit();
    return full ? Admission.FULL : Admission.ACCEPTED;
  }

  private long contextLimit() {
    MemorySettings sizes = settings.memory();
    return (long) sizes.memoryBlocks() * sizes.blockTokens();
  }

  private boolean kept(Generation generation, double nowMs) {
    if (dead || forgotten(generation)) {
      return false;
    }
    return switch (generation.state) {
      case CANCELLED, DIED -> false;
      case FINISHED -> nowMs <= generation.endedMs + settings.life().keepAnswerMs();
      case WAITING, RUNNING, PREEMPTED -> true;
    };
  }

  private boolean forgotten(Generation generation) {
    return generation.arrivedMs < forgetBeforeMs;
  }

  private void startStep(double nowMs) {
    if (stepping || dead) {
      return;
    }
    if (growBatch()) {
      enterWaiting();
    }
    if (batch.isEmpty()) {
      return;
    }
    stepping = true;
    stepStartMs = nowMs;
    stepEndMs = Math.max(nowMs, stalledUntilMs) + faults.slowdownFactor() * planStepMs();
  }

  private void enterWaiting() {
    while (!waiting.isEmpty() && batch.size() < settings.steps().maxBatch()) {
      Generation first = waiting.first();
      int reserve = batch.isEmpty() ? 0 : 1 + memory.totalBlocks() / ENTRY_RESERVE_DIVISOR;
      if (!memory.tryEnter(first, settings.memory(), reserve)) {
        return;
      }
      waiting.remove(first);
      first.state = GenerationState.RUNNING;
      batch.add(first);
    }
  }

  /**
   * Gives each generation room for its next token, and preempts others where there is none.
   *
   * @return whether there was room for all
   */
  private boolean growBatch() {
    long before = preemptions;
    for (Generation generation : List.copyOf(batch)) {
      boolean fits = generation.state == GenerationState.RUNNING && !needsBlock(generation);
      while (generation.state == GenerationState.RUNNING && !fits) {
        fits = memory.tryGrow(generation);
        if (!fits) {
          preempt(batch.last());
        }
      }
    }
    return preemptions == before;
  }

  private boolean needsBlock(Generation generation) {
    int needed = settings.memory().blocksOf(generation.contextTokens() + 1L);
    return generation.blocks() < needed;
  }

  private void preempt(Generation generation) {
    batch.remove(generation);
    memory.leave(generation);
    generation.preempt();
    waiting.add(generation);
    preemptions++;
  }

  private double planStepMs() {
    StepSettings times = settings.steps();
    int budget = times.prefillChunkTokens();
    long contextTokens = 0;
    int sequences = 0;
    for (Generation generation : batch) {
      generation.prefillOfStep = Math.min(budget, generation.prefillLeft);
      budget -= generation.prefillOfStep;
      boolean takesPart = !generation.prefilling() || generation.prefillOfStep > 0;
      sequences += takesPart ? 1 : 0;
      contextTokens += takesPart ? generation.contextTokens() : 0;
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
      finishStep(generation, nowMs);
    }
    report(nowMs);
  }

  private void finishStep(Generation generation, double nowMs) {
    if (generation.prefilling()) {
      generation.prefillLeft -= generation.prefillOfStep;
      if (generation.prefilling()) {
        return;
      }
      memory.share(generation);
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

  private void end(Generation generation, GenerationState how, double nowMs) {
    batch.remove(generation);
    waiting.remove(generation);
    memory.leave(generation);
    generation.end(how, nowMs);
  }

  private void die(double nowMs) {
    List<Generation> unfinished = new ArrayList<>(batch);
    unfinished.addAll(waiting);
    unfinished.forEach(generation -> end(generation, GenerationState.DIED, nowMs));
    earlierPrefixHits += memory.prefixHits();
    memory = new BlockMemory(settings.memory().memoryBlocks());
    stepping = false;
    dead = true;
    forgetBeforeMs = nowMs;
  }

  private void forgetOldest() {
    if (known.size() > MAX_KNOWN) {
      known.values().stream()
          .filter(generation -> generation.state.ended())
          .findFirst()
          .ifPresent(generation -> known.remove(generation.request.id()));
    }
  }

  private void report(double nowMs) {
    reports.addCacheChange(memory.drainChanges(), nowMs);
    reports.addLoad(
        new EngineLoad(
            memory.totalBlocks(),
            memory.usedBlocks(),
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
