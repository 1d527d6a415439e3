package org.sequoiareach.decision.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.membership.MembershipEffect;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.Sheet;

/**
 * Simulates daemons on a virtual clock, connected by a network that loses, duplicates and reorders
 * messages, together with a key-value service that fails.
 *
 * <p>Checks after each event and tick that no version decreases and that no daemon is ready with a
 * version older than the one a majority of ready daemons held {@link #BOUND_MS} before.
 */
final class SheetSimulation {

  static final int DAEMONS = 6;
  static final long BOUND_MS = 3_000;
  static final long PAUSE_BOUND_MS = 1_000;
  private static final long TICK_MS = 100;
  private static final long READ_PERIOD_MS = 500;
  private static final long READ_TIMEOUT_MS = 1_500;
  private static final int MAX_DELAY_MS = 400;
  private static final String ID_PREFIX = "daemon-";

  private final Random random;
  private final SimulatedDaemon[] simulatedDaemons;
  private final List<VmEntry> vms = new ArrayList<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private final TreeMap<Long, Long> inForceByTime = new TreeMap<>();
  private long nowMs = 1_000_000;
  private long deliveries;
  private long serviceVersion = 1;
  private boolean serviceDown;
  private long serviceDownSinceMs;
  private double messageLoss;
  private int readyObservationsInOutage;
  private LongFunction<Sheet> sheetFactory = SheetSimulation::emptySheet;
  private Consumer<Effect> observer = effect -> {};

  SheetSimulation(long seed) {
    this(DAEMONS, seed);
  }

  SheetSimulation(int daemons, long seed) {
    random = new Random(seed);
    simulatedDaemons = new SimulatedDaemon[daemons];
    for (int i = 0; i < daemons; i++) {
      vms.add(new VmEntry(id(i), VmKind.DAEMON, "10.0.0.1:" + i, "a", false, List.of()));
    }
    for (int i = 0; i < daemons; i++) {
      simulatedDaemons[i] = new SimulatedDaemon(i);
      simulatedDaemons[i].start();
    }
    at(nowMs, this::checkInvariants);
  }

  void export() {
    if (!serviceDown) {
      serviceVersion++;
    }
  }

  void setSheetFactory(LongFunction<Sheet> byVersion) {
    sheetFactory = byVersion;
  }

  void observe(Consumer<Effect> consumer) {
    observer = consumer;
  }

  void serviceDown(boolean down) {
    serviceDownSinceMs = down && !serviceDown ? nowMs : serviceDownSinceMs;
    serviceDown = down;
  }

  void cutFromService(int daemon, boolean cut) {
    simulatedDaemons[daemon].cutFromService = cut;
  }

  void partition(int daemon, int partition) {
    simulatedDaemons[daemon].partition = partition;
  }

  void messageLoss(double probability) {
    messageLoss = probability;
  }

  void pause(int daemon, long durationMs) {
    simulatedDaemons[daemon].pausedUntilMs = nowMs + durationMs;
  }

  void restart(int daemon) {
    simulatedDaemons[daemon].start();
  }

  void clearFaults() {
    messageLoss = 0;
    serviceDown = false;
    for (SimulatedDaemon simulated : simulatedDaemons) {
      simulated.partition = 0;
      simulated.cutFromService = false;
      simulated.pausedUntilMs = nowMs;
    }
  }

  void run(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
      Delivery next = queue.remove();
      nowMs = Math.max(nowMs, next.atMs);
      next.action.run();
    }
    nowMs = untilMs;
  }

  boolean isReady(int daemon) {
    return simulatedDaemons[daemon].isReady();
  }

  long versionOf(int daemon) {
    return simulatedDaemons[daemon].version();
  }

  long serviceVersion() {
    return serviceVersion;
  }

  /** Returns how often a daemon was seen ready more than twice the bound into a service outage. */
  int readyObservationsInOutage() {
    return readyObservationsInOutage;
  }

  private void checkInvariants() {
    long[] ready =
        IntStream.range(0, simulatedDaemons.length)
            .filter(this::isReady)
            .mapToLong(this::versionOf)
            .sorted()
            .toArray();
    int majority = simulatedDaemons.length / 2 + 1;
    long majorityVersion = ready.length < majority ? 0 : ready[ready.length - majority];
    long previousVersion = inForceByTime.isEmpty() ? 0 : inForceByTime.lastEntry().getValue();
    inForceByTime.put(nowMs, Math.max(previousVersion, majorityVersion));
    boolean inLongOutage = serviceDown && nowMs - serviceDownSinceMs > 2 * BOUND_MS;
    readyObservationsInOutage += inLongOutage ? ready.length : 0;
    for (SimulatedDaemon simulated : simulatedDaemons) {
      simulated.checkVersion();
    }
    at(nowMs + TICK_MS, this::checkInvariants);
  }

  private void at(long atMs, Runnable action) {
    deliveries++;
    queue.add(new Delivery(atMs, deliveries, action));
  }

  private long delayMs() {
    return 1 + (random.nextInt(4) == 0 ? random.nextInt(MAX_DELAY_MS) : random.nextInt(5));
  }

  private static String id(int index) {
    return ID_PREFIX + index;
  }

  private static Sheet emptySheet(long version) {
    return new Sheet(version, List.of(), List.of(), List.of());
  }

  private record Delivery(long atMs, long number, Runnable action) {}

  /** A daemon that loses all its state when it restarts. */
  private final class SimulatedDaemon {

    private final int index;
    private GroupReducer reducer;
    private int incarnation;
    private long lastVersion;
    private long pausedUntilMs;
    private boolean cutFromService;
    private int partition;

    private SimulatedDaemon(int index) {
      this.index = index;
    }

    private void start() {
      incarnation++;
      lastVersion = 0;
      pausedUntilMs = nowMs;
      String id = id(index);
      reducer =
          new GroupReducer(
              new GroupSettings(
                  new MembershipSettings(id, vms.get(index).address(), "a", nowMs, index),
                  new SheetGuardSettings(id, BOUND_MS, PAUSE_BOUND_MS, random.nextLong())));
      deliver(nowMs, at -> new PlatformEvent.VmsListed(at, at, vms));
      tick(incarnation);
      read(incarnation);
    }

    private boolean isReady() {
      return reducer.sheetGuard().notReadyReason(nowMs).isEmpty();
    }

    private long version() {
      return reducer.sheetGuard().sheet().map(Sheet::version).orElse(0L);
    }

    private void checkVersion() {
      assertThat(version()).as("version of daemon %s", index).isGreaterThanOrEqualTo(lastVersion);
      lastVersion = version();
      var requiredEntry = inForceByTime.floorEntry(nowMs - BOUND_MS - 1);
      if (requiredEntry != null && isReady() && nowMs >= pausedUntilMs) {
        assertThat(version())
            .as("version that daemon %s serves at %s", index, nowMs)
            .isGreaterThanOrEqualTo(requiredEntry.getValue());
      }
    }

    private void tick(int ofIncarnation) {
      if (ofIncarnation != incarnation) {
        return;
      }
      deliver(nowMs, TimeEvent.Ticked::new);
      long nextMs = Math.max(nowMs, pausedUntilMs) + TICK_MS;
      at(nextMs, () -> tick(ofIncarnation));
    }

    private void read(int ofIncarnation) {
      if (ofIncarnation != incarnation) {
        return;
      }
      final long askedMs = nowMs;
      final long completionMs = nowMs + delayMs() + delayMs();
      at(nowMs + delayMs(), () -> completeRead(askedMs, Math.max(nowMs, completionMs)));
      at(Math.max(nowMs, pausedUntilMs) + READ_PERIOD_MS, () -> read(ofIncarnation));
    }

    private void completeRead(long askedMs, long completionMs) {
      if (serviceDown || cutFromService || random.nextDouble() < messageLoss) {
        deliver(askedMs + READ_TIMEOUT_MS, PlatformEvent.SheetReadFailed::new);
        return;
      }
      long version = serviceVersion;
      deliver(
          completionMs,
          at -> new PlatformEvent.SheetRead(at, askedMs, sheetFactory.apply(version)));
    }

    private void deliver(long atMs, LongFunction<Event> factory) {
      final int ofIncarnation = incarnation;
      at(Math.max(atMs, nowMs), () -> apply(ofIncarnation, factory));
    }

    private void apply(int ofIncarnation, LongFunction<Event> factory) {
      if (ofIncarnation != incarnation) {
        return;
      }
      if (nowMs < pausedUntilMs) {
        at(pausedUntilMs, () -> apply(ofIncarnation, factory));
        return;
      }
      reducer.reduce(factory.apply(nowMs)).forEach(this::execute);
      checkVersion();
    }

    private void execute(Effect effect) {
      observer.accept(effect);
      String from = id(index);
      if (effect instanceof MembershipEffect.SendProbe m) {
        send(
            m.daemonId(),
            at ->
                new MembershipEvent.ProbeReceived(at, from, m.sequence(), m.updates(), m.sheet()));
      } else if (effect instanceof MembershipEffect.SendProbeAck m) {
        send(
            m.daemonId(),
            at ->
                new MembershipEvent.ProbeAcked(
                    at, from, m.sequence(), m.memberId(), m.updates(), m.sheet()));
      } else if (effect instanceof SheetEffect sheetEffect) {
        executeSheetEffect(from, sheetEffect);
      }
    }

    private void executeSheetEffect(String from, SheetEffect effect) {
      if (effect instanceof SheetEffect.AskSheetStatus m) {
        send(m.daemonId(), at -> new SheetEvent.SheetStatusAsked(at, from, m.sequence()));
      } else if (effect instanceof SheetEffect.AnswerSheetStatus m) {
        send(
            m.daemonId(),
            at -> new SheetEvent.SheetStatusAnswered(at, from, m.sequence(), m.status()));
      } else if (effect instanceof SheetEffect.AnnounceSheet m) {
        send(m.daemonId(), at -> new SheetEvent.SheetStatusSeen(at, from, m.status()));
      } else if (effect instanceof SheetEffect.PullSheet m) {
        send(
            m.daemonId(),
            at -> new SheetEvent.SheetPulled(at, from, m.haveVersion(), m.haveSections()));
      } else if (effect instanceof SheetEffect.SendSheetSections m) {
        send(
            m.daemonId(),
            at ->
                new SheetEvent.SheetSectionsReceived(
                    at, from, m.manifest(), m.catalogue(), m.organisations()));
      }
    }

    private void send(String to, LongFunction<Event> factory) {
      SimulatedDaemon receiver =
          simulatedDaemons[Integer.parseInt(to.substring(ID_PREFIX.length()))];
      int copies = random.nextInt(10) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (receiver.partition == partition && random.nextDouble() >= messageLoss) {
          receiver.deliver(nowMs + delayMs(), factory);
        }
      }
    }
  }
}
