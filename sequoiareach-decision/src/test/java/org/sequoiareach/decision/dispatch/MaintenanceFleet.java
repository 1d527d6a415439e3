package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.model.route.ZoneMaintenance;

/**
 * Simulates a fleet that follows a store in which operators put zones into maintenance, and records
 * the zones to which the daemons send calls.
 */
final class MaintenanceFleet extends StoreFleet {

  static final long CHANGE_BOUND_MS = 3_000;
  private static final long CALL_INTERVAL_MS = 8;
  private static final long ANSWER_MS = 20;

  private final Map<String, Long> entries = new HashMap<>();
  private final List<Send> sends = new ArrayList<>();
  private final Set<Integer> unloaded = new HashSet<>();
  private int sequence;

  /** A call that a daemon sent. */
  record Send(long atMs, int daemon, String zone) {}

  MaintenanceFleet(long seed, int size) {
    super(seed, size);
  }

  @Override
  long changeBoundMs() {
    return CHANGE_BOUND_MS;
  }

  @Override
  boolean loadsAtStart(Daemon daemon) {
    // Not yet assigned while the superclass starts the fleet.
    return unloaded == null || !unloaded.contains(daemon.number());
  }

  @Override
  Runnable readMore(Daemon daemon, long position) {
    ZoneMaintenance read = new ZoneMaintenance(position, entries.keySet());
    return () -> daemon.apply(at -> new AvailabilityEvent.MaintenanceLearned(at, read, "store"));
  }

  /** Writes the entry of a zone. */
  void startMaintenance(String zone) {
    entries.put(zone, next());
    notifyWaiting();
  }

  /** Removes the entry of a zone. */
  void endMaintenance(String zone) {
    entries.remove(zone);
    next();
    notifyWaiting();
  }

  /** Restores the store from a copy without the last changes, and writes the entries again. */
  void restoreAndWriteAgain(long lostSince, long afterMs) {
    Set<String> lost = Set.copyOf(entries.keySet());
    entries.clear();
    restore(lostSince);
    at(elapsedMs() + afterMs, () -> lost.forEach(this::startMaintenance));
  }

  /** Stops a daemon and starts it again with nothing but the addresses of others. */
  void restartUnloaded(int daemon, long downMs) {
    unloaded.add(daemon);
    restart(daemon, downMs);
  }

  /** Lets callers send calls to random daemons from now on. */
  void load(long durationMs) {
    for (long atMs = elapsedMs(); atMs < elapsedMs() + durationMs; atMs += CALL_INTERVAL_MS) {
      at(atMs, () -> call(daemons().get(random().nextInt(daemons().size()))));
    }
  }

  List<Send> sends(Predicate<Send> selected) {
    return sends.stream().filter(selected).toList();
  }

  private void call(Daemon daemon) {
    sequence++;
    String callId = "c" + sequence;
    daemon.apply(
        at ->
            new DispatchEvent.CallArrived(
                at,
                callId,
                new CallProfile(
                    callId,
                    DispatchFixture.HOST,
                    "/draft/1",
                    Optional.of(KEY),
                    at,
                    at + 1_000,
                    Optional.of(
                        new GenerationDemand("m", 100, 10, OptionalLong.empty(), List.of()))),
                Optional.empty()));
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    if (effect instanceof DispatchEffect.SendCall send) {
      sends.add(new Send(elapsedMs(), daemon.number(), send.target().zone()));
      clock()
          .after(
              ANSWER_MS,
              () ->
                  daemon.apply(
                      at ->
                          new DispatchEvent.AnswerDelivered(
                              at, send.callId(), send.attempt(), 200, "")));
    }
    super.perform(daemon, effect);
  }
}
