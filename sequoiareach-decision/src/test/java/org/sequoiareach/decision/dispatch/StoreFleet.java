package org.sequoiareach.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.follow.StoreAccess.Mode;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.StorePosition;
import org.sequoiareach.model.route.TargetUpdate;

/**
 * Simulates a fleet that follows a store, and checks by an oracle that no daemon goes back to an
 * older sheet and that each change is in force at each daemon within its bound.
 */
class StoreFleet extends AbstractFleet {

  static final long BOUND_MS = 4_000;
  private static final long CALL_MS = 2;
  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final long WATCH_BACKOFF_MS = 400;

  /** A sheet and the targets are read by one call each. */
  private static final int CALLS_PER_ACCESS = 2;

  private final Map<String, RoutedTarget> targets = new LinkedHashMap<>();
  private final List<TargetUpdate> history = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private final Map<Integer, Access> accesses = new HashMap<>();
  private final Map<String, Long> learnedMs = new HashMap<>();
  private final Map<Integer, Long> lastVersion = new HashMap<>();
  private final Set<Integer> excused = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private IntPredicate turnedAway = daemon -> false;
  private IntPredicate silent = daemon -> false;
  private boolean singleReadsDisabled;
  private boolean agesFalsified;
  private long era;
  private long revision = 10;
  private long sheetVersion = 1;
  private long sheetRevision = 1;
  private int calls;

  StoreFleet(long seed, int size) {
    super(seed);
    IntStream.range(0, 40).forEach(i -> put(DispatchFixture.target("engines", i, 24)));
    start(size);
  }

  /** What one daemon reads at present. */
  private static final class Access {
    private long number;
    private boolean watching;
    private long pollMs;
    private long position;
    private boolean failed;
  }

  /** A change that has to be in force everywhere by a deadline. */
  private record Change(String name, long atMs, long deadlineMs) {}

  /**
   * Reads what the store holds beside the sheet and the targets.
   *
   * @return posts what was read to the daemon, before the sheet
   */
  Runnable readMore(Daemon daemon, long position) {
    return () -> {};
  }

  @Override
  long changeBoundMs() {
    return BOUND_MS;
  }

  @Override
  List<RoutedTarget> listedTargets() {
    return List.copyOf(targets.values());
  }

  int calls() {
    return calls;
  }

  List<Integer> readers() {
    return daemons().stream()
        .filter(daemon -> daemon.isAlive() && daemon.reducer().isWatchingStore())
        .map(Daemon::number)
        .toList();
  }

  /** Lets the store refuse the calls of some daemons at once. */
  void turnAway(IntPredicate refused) {
    turnedAway = refused;
  }

  /** Lets the calls of some daemons hang until they time out. */
  void cutFromStore(IntPredicate cutOff) {
    silent = cutOff;
  }

  void disableSingleReads() {
    singleReadsDisabled = true;
  }

  /** Lets readers claim that they have just read the store when their calls fail. */
  void falsifyAges() {
    agesFalsified = true;
  }

  /** Exempts a daemon that is itself disturbed from the bound. */
  void excuse(int daemon) {
    excused.add(daemon);
  }

  /** Writes that a target is leaving. */
  void leave(int target, long deadlineInMs) {
    RoutedTarget leaving = targets.get("engines" + target).asLeaving();
    put(leaving);
    changes.add(new Change(leaving.id(), clock().nowMs(), clock().nowMs() + deadlineInMs));
    notifyWaiting();
  }

  void publishSheet(long deadlineInMs) {
    sheetVersion++;
    sheetRevision = next();
    changes.add(
        new Change("sheet " + sheetVersion, clock().nowMs(), clock().nowMs() + deadlineInMs));
    notifyWaiting();
  }

  /** Restores the store from a copy without the changes since a position. */
  final void restore(long lostSince) {
    era++;
    revision = StorePosition.revisionOf(lostSince);
    history.removeIf(update -> update.revision() > lostSince);
    sheetRevision = Math.min(sheetRevision, lostSince);
    notifyWaiting();
  }

  long position() {
    return StorePosition.of(era, revision);
  }

  /** Returns what the oracle objects to, including changes that are not in force at their end. */
  List<String> violations() {
    for (Change change : changes) {
      for (Daemon daemon : daemons()) {
        if (!daemon.isAlive() || excused.contains(daemon.number())) {
          continue;
        }
        Long learned = learnedMs.get(daemon.number() + " " + change.name());
        if (learned == null || learned > change.deadlineMs()) {
          violations.add(
              daemon.id()
                  + " learned of "
                  + change
                  + (learned == null ? " never" : " at " + learned));
        }
      }
    }
    return violations;
  }

  /** Returns the median, over all changes, of the time until the last daemon learned of one. */
  long medianDelayMs() {
    long[] delays =
        changes.stream()
            .mapToLong(
                change ->
                    daemons().stream()
                        .mapToLong(daemon -> delayMs(daemon, change))
                        .max()
                        .orElseThrow())
            .sorted()
            .toArray();
    return delays[delays.length / 2];
  }

  private long delayMs(Daemon daemon, Change change) {
    long learned = learnedMs.getOrDefault(daemon.number() + " " + change.name(), Long.MAX_VALUE);
    return learned - change.atMs();
  }

  final long next() {
    revision++;
    return position();
  }

  private void put(RoutedTarget target) {
    targets.put(target.id(), target);
    history.add(new TargetUpdate(next(), target.id(), Optional.of(target)));
  }

  final void notifyWaiting() {
    List<Runnable> notified = List.copyOf(waiting);
    waiting.clear();
    notified.forEach(Runnable::run);
  }

  @Override
  void perform(Daemon daemon, Effect effect) {
    if (effect instanceof DispatchEffect.AccessStore access) {
      accessStore(daemon, access);
    } else if (effect instanceof DispatchEffect.TellStoreNews tell) {
      long sentMs = daemon.nowMs();
      daemon.deliver(
          tell.daemonId(),
          at -> new DispatchEvent.StoreNewsTold(at, daemon.id(), sentMs, tell.news()));
    } else if (effect instanceof DispatchEffect.PullState pull) {
      daemon.deliver(
          pull.daemonId(),
          at -> new DispatchEvent.PeerPulled(at, daemon.id(), pull.sheet(), pull.targets()));
    } else if (effect instanceof DispatchEffect.AnswerPull answer) {
      List<LongFunction<Event>> events = new ArrayList<>();
      answer
          .maintenance()
          .ifPresent(
              zones ->
                  events.add(
                      at -> new AvailabilityEvent.MaintenanceLearned(at, zones, daemon.id())));
      answer
          .sheet()
          .ifPresent(
              sheet -> events.add(at -> new DispatchEvent.SheetLearned(at, sheet, daemon.id())));
      answer
          .targets()
          .ifPresent(
              list ->
                  events.add(
                      at ->
                          new DispatchEvent.TargetsListed(
                              at, answer.targetsRevision(), list, daemon.id())));
      daemon.deliverAll(answer.daemonId(), events);
    } else if (effect instanceof DispatchEffect.UseRoutingSheet use) {
      onSheetInForce(daemon, use.sheet().version());
    } else if (effect instanceof Effect.LogDecision log && log.decision().equals("target-leaves")) {
      learnedMs.putIfAbsent(daemon.number() + " " + log.targetId(), clock().nowMs());
    }
  }

  private void onSheetInForce(Daemon daemon, long version) {
    Long previous = lastVersion.put(daemon.number(), version);
    if (previous != null && previous > version) {
      violations.add(daemon.id() + " went back from sheet " + previous + " to " + version);
    }
    for (long passed = previous == null ? 1 : previous + 1; passed <= version; passed++) {
      learnedMs.putIfAbsent(daemon.number() + " sheet " + passed, clock().nowMs());
    }
  }

  private void accessStore(Daemon daemon, DispatchEffect.AccessStore effect) {
    Access access = accesses.computeIfAbsent(daemon.number(), number -> new Access());
    Mode mode = effect.access().mode();
    boolean continues = mode == Mode.WATCH && access.watching;
    access.watching = mode == Mode.WATCH;
    access.pollMs = effect.access().pollMs();
    if (mode == Mode.FOLLOW || continues || mode == Mode.READ_ONCE && singleReadsDisabled) {
      return;
    }
    read(daemon, access);
  }

  private void read(Daemon daemon, Access access) {
    final long number = ++access.number;
    final long askedMs = daemon.nowMs();
    call(
        daemon,
        access,
        number,
        () -> {
          final List<RoutedTarget> listed = listedTargets();
          final long position = position();
          final long version = sheetVersion;
          final long versionRevision = sheetRevision;
          final Runnable more = readMore(daemon, position);
          answer(
              daemon,
              access,
              number,
              () -> {
                more.run();
                learnSheet(daemon, version, versionRevision);
                daemon.apply(at -> new DispatchEvent.TargetsListed(at, position, listed, "store"));
                access.position = position;
                confirm(daemon, askedMs);
                watch(daemon, access);
              });
        });
  }

  private void watch(Daemon daemon, Access access) {
    if (!access.watching || !daemon.isAlive()) {
      return;
    }
    final long number = ++access.number;
    final long askedMs = daemon.nowMs();
    final long untilMs = clock().nowMs() + access.pollMs;
    call(
        daemon,
        access,
        number,
        () -> {
          boolean[] answered = {false};
          Runnable answer =
              () -> {
                if (!answered[0]) {
                  answered[0] = true;
                  answerWatch(daemon, access, number, askedMs, untilMs);
                }
              };
          if (position() > access.position) {
            answer.run();
          } else {
            waiting.add(answer);
            clock().at(untilMs, answer);
          }
        });
  }

  private void answerWatch(Daemon daemon, Access access, long number, long askedMs, long untilMs) {
    final long position = position();
    if (StorePosition.eraOf(position) != StorePosition.eraOf(access.position)) {
      answer(daemon, access, number, () -> read(daemon, access));
      return;
    }
    final List<TargetUpdate> updates =
        history.stream().filter(update -> update.revision() > access.position).toList();
    final long version = sheetVersion;
    final long versionRevision = sheetRevision;
    final boolean sheetChanged = sheetRevision > access.position;
    final Runnable more = position > access.position ? readMore(daemon, position) : () -> {};
    final long asOfMs = clock().nowMs() >= untilMs ? askedMs + access.pollMs : askedMs;
    answer(
        daemon,
        access,
        number,
        () -> {
          more.run();
          if (sheetChanged) {
            learnSheet(daemon, version, versionRevision);
          }
          if (!updates.isEmpty()) {
            daemon.apply(
                at -> new DispatchEvent.TargetsUpdated(at, OptionalLong.empty(), updates, "store"));
          }
          access.position = position;
          confirm(daemon, asOfMs);
          if (!sheetChanged && !updates.isEmpty()) {
            // The watch of the sheet goes on.
            calls--;
          }
          watch(daemon, access);
        });
  }

  private static void learnSheet(Daemon daemon, long version, long position) {
    RoutingSheet sheet = DispatchFixture.sheet(version, KEY);
    RoutingSheet stored =
        new RoutingSheet(
            position,
            version,
            sheet.routes(),
            sheet.services(),
            sheet.limits(),
            sheet.organisations());
    daemon.apply(at -> new DispatchEvent.SheetLearned(at, stored, "store"));
  }

  private void confirm(Daemon daemon, long asOfMs) {
    daemon.apply(at -> new DispatchEvent.StoreRead(at, true, asOfMs));
    daemon.apply(at -> new DispatchEvent.StoreRead(at, false, asOfMs));
  }

  private void call(Daemon daemon, Access access, long number, Runnable atStore) {
    calls += CALLS_PER_ACCESS;
    if (silent.test(daemon.number())) {
      clock().after(CALL_TIMEOUT_MS, () -> fail(daemon, access, number));
    } else if (turnedAway.test(daemon.number())) {
      clock().after(CALL_MS, () -> fail(daemon, access, number));
    } else {
      clock().after(CALL_MS, atStore);
    }
  }

  private void answer(Daemon daemon, Access access, long number, Runnable process) {
    clock()
        .after(
            CALL_MS,
            () -> {
              if (silent.test(daemon.number())) {
                clock().after(CALL_TIMEOUT_MS, () -> fail(daemon, access, number));
              } else if (access.number == number && daemon.isAlive()) {
                if (access.failed) {
                  access.failed = false;
                  daemon.apply(at -> new DispatchEvent.StoreSeen(at, true));
                }
                process.run();
              }
            });
  }

  private void fail(Daemon daemon, Access access, long number) {
    if (access.number != number || !daemon.isAlive()) {
      return;
    }
    access.failed = true;
    daemon.apply(at -> new DispatchEvent.StoreSeen(at, false));
    if (agesFalsified) {
      confirm(daemon, daemon.nowMs());
    }
    clock()
        .after(
            WATCH_BACKOFF_MS,
            () -> {
              if (access.number == number && access.watching) {
                read(daemon, access);
              }
            });
  }
}
