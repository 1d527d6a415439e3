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
 * Joins daemons by a lossy, duplicating, reordering queue, beside a key-value service that fails,
 * and checks what they serve against an oracle that sees all of them.
 */
final class SheetWorld {

  static final int DAEMONS = 6;
  static final long BOUND_MS = 3_000;
  static final long PAUSE_BOUND_MS = 1_000;
  private static final long TICK_MS = 100;
  private static final long READ_PERIOD_MS = 500;
  private static final long READ_TIMEOUT_MS = 1_500;
  private static final int MAX_DELAY_MS = 400;
  private static final String ID_PREFIX = "daemon-";

  private final Random random;
  private final Node[] nodes;
  private final List<VmEntry> vms = new ArrayList<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private final TreeMap<Long, Long> inForce = new TreeMap<>();
  private long nowMs = 1_000_000;
  private long deliveries;
  private long serviceVersion = 1;
  private boolean serviceAway;
  private long serviceAwaySinceMs;
  private double loss;
  private int readyInOutage;
  private LongFunction<Sheet> sheets = SheetWorld::emptySheet;
  private Consumer<Effect> observer = effect -> {};

  SheetWorld(long seed) {
    this(DAEMONS, seed);
  }

  SheetWorld(int daemons, long seed) {
    random = new Random(seed);
    nodes = new Node[daemons];
    for (int i = 0; i < daemons; i++) {
      vms.add(new VmEntry(id(i), VmKind.DAEMON, "10.0.0.1:" + i, "a", false, List.of()));
    }
    for (int i = 0; i < daemons; i++) {
      nodes[i] = new Node(i);
      nodes[i].start();
    }
    at(nowMs, this::inspect);
  }

  void export() {
    if (!serviceAway) {
      serviceVersion++;
    }
  }

  void useSheets(LongFunction<Sheet> byVersion) {
    sheets = byVersion;
  }

  void observe(Consumer<Effect> consumer) {
    observer = consumer;
  }

  void serviceAway(boolean away) {
    serviceAwaySinceMs = away && !serviceAway ? nowMs : serviceAwaySinceMs;
    serviceAway = away;
  }

  void cutFromService(int daemon, boolean cut) {
    nodes[daemon].cutFromService = cut;
  }

  void side(int daemon, int side) {
    nodes[daemon].side = side;
  }

  void loss(double share) {
    loss = share;
  }

  void pause(int daemon, long durationMs) {
    nodes[daemon].pausedUntilMs = nowMs + durationMs;
  }

  void restart(int daemon) {
    nodes[daemon].start();
  }

  void healAll() {
    loss = 0;
    serviceAway = false;
    for (Node node : nodes) {
      node.side = 0;
      node.cutFromService = false;
      node.pausedUntilMs = nowMs;
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
    return nodes[daemon].isReady();
  }

  long versionOf(int daemon) {
    return nodes[daemon].version();
  }

  long serviceVersion() {
    return serviceVersion;
  }

  /** Counts observations of daemons that were ready though the service was long away. */
  int readyInOutage() {
    return readyInOutage;
  }

  private void inspect() {
    long[] ready =
        IntStream.range(0, nodes.length)
            .filter(this::isReady)
            .mapToLong(this::versionOf)
            .sorted()
            .toArray();
    int majority = nodes.length / 2 + 1;
    long held = ready.length < majority ? 0 : ready[ready.length - majority];
    long known = inForce.isEmpty() ? 0 : inForce.lastEntry().getValue();
    inForce.put(nowMs, Math.max(known, held));
    boolean longAway = serviceAway && nowMs - serviceAwaySinceMs > 2 * BOUND_MS;
    readyInOutage += longAway ? ready.length : 0;
    for (Node node : nodes) {
      node.check();
    }
    at(nowMs + TICK_MS, this::inspect);
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

  /** Is one daemon, which forgets all when it restarts. */
  private final class Node {

    private final int index;
    private GroupReducer reducer;
    private int life;
    private long heldVersion;
    private long pausedUntilMs;
    private boolean cutFromService;
    private int side;

    private Node(int index) {
      this.index = index;
    }

    private void start() {
      life++;
      heldVersion = 0;
      pausedUntilMs = nowMs;
      String id = id(index);
      reducer =
          new GroupReducer(
              new GroupSettings(
                  new MembershipSettings(id, vms.get(index).address(), "a", nowMs, index),
                  new SheetGuardSettings(id, BOUND_MS, PAUSE_BOUND_MS, random.nextLong())));
      deliver(nowMs, at -> new PlatformEvent.VmsListed(at, at, vms));
      tick(life);
      read(life);
    }

    private boolean isReady() {
      return reducer.guard().obstacle(nowMs).isEmpty();
    }

    private long version() {
      return reducer.guard().sheet().map(Sheet::version).orElse(0L);
    }

    private void check() {
      assertThat(version()).as("version of daemon %s", index).isGreaterThanOrEqualTo(heldVersion);
      heldVersion = version();
      var old = inForce.floorEntry(nowMs - BOUND_MS - 1);
      if (old != null && isReady() && nowMs >= pausedUntilMs) {
        assertThat(version())
            .as("version that daemon %s serves at %s", index, nowMs)
            .isGreaterThanOrEqualTo(old.getValue());
      }
    }

    private void tick(int ofLife) {
      if (ofLife != life) {
        return;
      }
      deliver(nowMs, TimeEvent.Ticked::new);
      long nextMs = Math.max(nowMs, pausedUntilMs) + TICK_MS;
      at(nextMs, () -> tick(ofLife));
    }

    private void read(int ofLife) {
      if (ofLife != life) {
        return;
      }
      final long askedMs = nowMs;
      final long answerMs = nowMs + delayMs() + delayMs();
      at(nowMs + delayMs(), () -> answerRead(askedMs, Math.max(nowMs, answerMs)));
      at(Math.max(nowMs, pausedUntilMs) + READ_PERIOD_MS, () -> read(ofLife));
    }

    private void answerRead(long askedMs, long answerMs) {
      if (serviceAway || cutFromService || random.nextDouble() < loss) {
        deliver(askedMs + READ_TIMEOUT_MS, PlatformEvent.SheetReadFailed::new);
        return;
      }
      long version = serviceVersion;
      deliver(answerMs, at -> new PlatformEvent.SheetRead(at, askedMs, sheets.apply(version)));
    }

    private void deliver(long atMs, LongFunction<Event> factory) {
      final int ofLife = life;
      at(Math.max(atMs, nowMs), () -> apply(ofLife, factory));
    }

    private void apply(int ofLife, LongFunction<Event> factory) {
      if (ofLife != life) {
        return;
      }
      if (nowMs < pausedUntilMs) {
        at(pausedUntilMs, () -> apply(ofLife, factory));
        return;
      }
      reducer.reduce(factory.apply(nowMs)).forEach(this::perform);
      check();
    }

    private void perform(Effect effect) {
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
        performSheet(from, sheetEffect);
      }
    }

    private void performSheet(String from, SheetEffect effect) {
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
      Node receiver = nodes[Integer.parseInt(to.substring(ID_PREFIX.length()))];
      int copies = random.nextInt(10) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (receiver.side == side && random.nextDouble() >= loss) {
          receiver.deliver(nowMs + delayMs(), factory);
        }
      }
    }
  }
}
