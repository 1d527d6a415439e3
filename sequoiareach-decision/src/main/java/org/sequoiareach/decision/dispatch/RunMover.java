package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.sequoiareach.model.route.EngineTraits;
import org.sequoiareach.model.route.RoutedTarget;

/**
 * Moves running generations off engines that leave.
 *
 * <p>Answers the load of engines that are reclaimed at short notice while they run generations that
 * may not be started anew. A run is copied while it goes on, again until a copy is quick, then
 * stopped, copied for the last time and continued at the destination; so its caller sees a pause of
 * the last copy only. Where the runs of an engine are too many to be copied in the time that is
 * left, the daemon copies one at a time, the one with the most still to come first, because copies
 * queue on the engine's link. Not thread-safe.
 */
final class RunMover {

  /** A copy that took no longer leaves a pause that callers do not notice. */
  static final long QUICK_COPY_MS = 60;

  /** The run is stopped at the latest so long after the notice; engines leave 1.5 s after it. */
  static final long LATEST_STOP_MS = 1_200;

  /**
   * Runs whose copies take no longer altogether are copied at once: short copies of what is new
   * then do not queue behind long ones, which callers would notice as a pause.
   */
  static final long TOGETHER_MS = 800;

  /** A copy that has not ended by then is given up. */
  private static final long COPY_TIMEOUT_MS = 1_500;

  /** The pause before a copy is asked for again; it grows with each failure. */
  private static final long PAUSE_MS = 50;

  /**
   * The longest pause, a fifth of a second, still leaves several tries before the engine is gone.
   */
  private static final int MOST_PAUSES = 4;

  /** An engine that was to leave and still works after this time is not waited for any longer. */
  private static final long GIVE_UP_MS = 6_000;

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MS_AND_MBPS = 1_000;

  private final Map<String, RunMove> moves = new LinkedHashMap<>();
  private final Map<String, Integer> copiesTo = new HashMap<>();

  /** Returns the move of a call, if it is being moved. */
  Optional<RunMove> find(String callId) {
    return Optional.ofNullable(moves.get(callId));
  }

  /**
   * Starts to move the calls of an engine that leaves.
   *
   * @param allCopiesMs how long it takes to copy the runs of all daemons there
   */
  void begin(long nowMs, RoutedTarget source, List<ActiveCall> calls, long allCopiesMs) {
    boolean together = allCopiesMs <= TOGETHER_MS;
    calls.stream()
        .filter(call -> !moves.containsKey(call.callId()))
        .sorted(Comparator.comparingLong(RunMover::stillToCome).reversed())
        .forEach(call -> moves.put(call.callId(), new RunMove(call, source, nowMs, together)));
  }

  /** Forgets a call that has ended; returns the copy to release, if there is one. */
  Optional<DispatchEffect.ReleaseCopy> ended(String callId) {
    RunMove move = moves.remove(callId);
    if (move == null || move.step() == RunMove.Step.CONTINUING) {
      return Optional.empty();
    }
    return move.held()
        .map(copy -> new DispatchEffect.ReleaseCopy(move.source().address(), copy.handle()));
  }

  /** Starts the copies that are due. */
  List<DispatchEffect.CopyRun> advance(long nowMs, Function<ActiveCall, List<Candidate>> engines) {
    List<DispatchEffect.CopyRun> copies = new ArrayList<>();
    for (RunMove move : List.copyOf(moves.values())) {
      boolean givenUp = nowMs - move.noticedMs() > GIVE_UP_MS;
      boolean mayCopy = move.isTogether() || !isSourceBusy(move.source());
      if (givenUp && move.step() == RunMove.Step.WAITING && move.held().isEmpty()) {
        moves.remove(move.call().callId());
      } else if (!givenUp && move.isDue(nowMs) && mayCopy) {
        startCopy(nowMs, move, engines).ifPresent(copies::add);
      }
    }
    return copies;
  }

  /**
   * Says what follows a copy.
   *
   * @param copy the next copy of the run; empty where none is due now
   * @param ready the move whose run is to go on at its destination; empty where none is
   */
  record Next(Optional<DispatchEffect.CopyRun> copy, Optional<RunMove> ready) {

    private static final Next NOTHING = new Next(Optional.empty(), Optional.empty());
  }

  /** Takes the end of a copy. */
  Next copied(DispatchEvent.RunCopied event) {
    RunMove move = moves.get(event.callId());
    if (move == null || move.round() != event.round() || move.destination().isEmpty()) {
      // A copy of a run that has ended is freed by the engines after a while.
      return Next.NOTHING;
    }
    boolean holds = event.outcome() == CopyOutcome.COPIED || move.step() == RunMove.Step.STOPPING;
    if (holds && !event.handle().isEmpty()) {
      move.copied(event.handle());
    }
    if (move.step() == RunMove.Step.STOPPING) {
      return stopped(event, move);
    }
    return switch (event.outcome()) {
      case COPIED -> new Next(Optional.of(nextCopy(event.nowMs(), move)), Optional.empty());
      case BUSY, NO_RUN -> later(event.nowMs(), move, false);
      case NO_ROOM -> later(event.nowMs(), move, true);
      case UNKNOWN -> later(event.nowMs(), move, !move.isHeldAt(move.destination().get().id()));
    };
  }

  private Next stopped(DispatchEvent.RunCopied event, RunMove move) {
    if (event.outcome() == CopyOutcome.BUSY) {
      return later(event.nowMs(), move, false);
    }
    if (move.held().isEmpty()) {
      moves.remove(event.callId());
      return Next.NOTHING;
    }
    move.continuing(event.nowMs());
    return new Next(Optional.empty(), Optional.of(move));
  }

  private DispatchEffect.CopyRun nextCopy(long nowMs, RunMove move) {
    boolean quick = nowMs - move.stepStartedMs() <= QUICK_COPY_MS;
    boolean late = nowMs - move.noticedMs() >= LATEST_STOP_MS;
    return copy(nowMs, move, move.destination().orElseThrow(), quick || late);
  }

  private Next later(long nowMs, RunMove move, boolean failed) {
    int pauses = Math.min(1 + move.failures(), MOST_PAUSES);
    move.tryAgainAt(nowMs + pauses * PAUSE_MS, failed);
    return Next.NOTHING;
  }

  private Optional<DispatchEffect.CopyRun> startCopy(
      long nowMs, RunMove move, Function<ActiveCall, List<Candidate>> engines) {
    Optional<Candidate> chosen = chooseDestination(move, engines);
    if (chosen.isEmpty()) {
      move.forgetFailedDestinations();
      later(nowMs, move, true);
      return Optional.empty();
    }
    return Optional.of(copy(nowMs, move, chosen.get().target(), false));
  }

  private DispatchEffect.CopyRun copy(
      long nowMs, RunMove move, RoutedTarget destination, boolean stop) {
    move.copying(nowMs, destination, stop);
    return new DispatchEffect.CopyRun(
        move.call().callId(),
        move.round(),
        move.source().address(),
        destination.address(),
        stop,
        nowMs + COPY_TIMEOUT_MS);
  }

  /**
   * Prefers the engine that holds a copy, then engines that are expected to hold the run to its
   * end, then the source's zone, then engines to which nothing is copied, then the emptiest. A run
   * that may be preempted at its destination is still better off than one that is lost.
   */
  private Optional<Candidate> chooseDestination(
      RunMove move, Function<ActiveCall, List<Candidate>> engines) {
    copiesTo.clear();
    moves.values().stream()
        .filter(other -> other != move && !isSameSource(other, move))
        .forEach(
            other -> other.destination().ifPresent(to -> copiesTo.merge(to.id(), 1, Integer::sum)));
    long needed =
        move.call().profile().generation().map(GenerationDemand::expectedMemoryTokens).orElse(0L);
    Comparator<Candidate> order =
        Comparator.comparing((Candidate candidate) -> !move.isHeldAt(candidate.target().id()))
            .thenComparing(candidate -> !fits(candidate, needed))
            .thenComparing(candidate -> !candidate.target().zone().equals(move.source().zone()))
            .thenComparing(candidate -> copiesTo.getOrDefault(candidate.target().id(), 0))
            .thenComparing(candidate -> candidate.use().memoryTokens());
    return engines.apply(move.call()).stream()
        .filter(candidate -> !candidate.target().id().equals(move.source().id()))
        .filter(candidate -> !move.hasFailedAt(candidate.target().id()))
        .filter(candidate -> candidate.use().calls() < candidate.target().slots())
        .min(order);
  }

  private static boolean fits(Candidate candidate, long needed) {
    long memory = candidate.engine().map(EngineTraits::memoryTokens).orElse(Long.MAX_VALUE);
    return candidate.use().memoryTokens() + needed <= memory;
  }

  /** Returns how long it takes to copy the memory of an engine within its availability zone. */
  static long copyMs(long tokens, EngineTraits engine) {
    if (engine.linkMbps() <= 0) {
      return 0;
    }
    double bits = tokens * engine.bytesPerToken() * BITS_PER_BYTE;
    return Math.round(bits / (engine.linkMbps() * BITS_PER_MS_AND_MBPS));
  }

  private boolean isSourceBusy(RoutedTarget source) {
    return moves.values().stream()
        .filter(move -> move.source().id().equals(source.id()))
        .anyMatch(
            move -> move.step() == RunMove.Step.COPYING || move.step() == RunMove.Step.STOPPING);
  }

  private static boolean isSameSource(RunMove one, RunMove other) {
    return one.source().id().equals(other.source().id());
  }

  private static long stillToCome(ActiveCall call) {
    return call.profile().generation().map(GenerationDemand::maxOutputTokens).orElse(0L);
  }
}
