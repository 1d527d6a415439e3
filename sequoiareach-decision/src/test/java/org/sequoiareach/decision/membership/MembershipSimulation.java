package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Simulates daemons that exchange membership messages on a virtual clock, with message loss, cut
 * links and stopped daemons. Deterministic for a given seed.
 */
final class MembershipSimulation {

  private static final long TICK_MS = 100;
  private static final long LATENCY_MS = 2;

  private final Map<String, MembershipReducer> reducers = new LinkedHashMap<>();
  private final Set<String> stopped = new TreeSet<>();
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private final Random random;
  private BiPredicate<String, String> cutLinks = (from, to) -> false;
  private double messageLoss;
  private Consumer<Effect> observer = effect -> {};
  private long deliveries;
  private long nowMs = 1_000_000;

  MembershipSimulation(int daemons, long seed) {
    random = new Random(seed);
    for (int i = 0; i < daemons; i++) {
      start(id(i));
    }
    readList(vms());
  }

  static String id(int index) {
    return "daemon-%04d".formatted(index);
  }

  void start(String id) {
    MembershipSettings settings =
        new MembershipSettings(id, address(id), zone(id), nowMs, random.nextLong());
    reducers.put(id, new MembershipReducer(settings, now -> SheetStatus.UNKNOWN));
    tick(id, nowMs + random.nextInt((int) TICK_MS));
  }

  List<VmEntry> vms() {
    return reducers.keySet().stream()
        .map(id -> new VmEntry(id, VmKind.DAEMON, address(id), zone(id), false, List.of()))
        .toList();
  }

  void readList(List<VmEntry> vms) {
    reducers.keySet().forEach(id -> readList(id, vms));
  }

  void readList(String id, List<VmEntry> vms) {
    apply(id, new PlatformEvent.VmsListed(nowMs, nowMs, vms));
  }

  void drain(String id) {
    apply(id, new TimeEvent.DrainRequested(nowMs, nowMs + 60_000));
  }

  void stop(String id) {
    stopped.add(id);
  }

  void resume(String id) {
    stopped.remove(id);
    tick(id, nowMs);
  }

  void cutLinks(BiPredicate<String, String> links) {
    cutLinks = links;
  }

  void messageLoss(double share) {
    messageLoss = share;
  }

  void observe(Consumer<Effect> consumer) {
    observer = consumer;
  }

  long nowMs() {
    return nowMs;
  }

  MembershipReducer reducer(String id) {
    return reducers.get(id);
  }

  void run(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
      Delivery next = queue.remove();
      nowMs = Math.max(nowMs, next.atMs);
      if (!stopped.contains(next.to)) {
        next.action.run();
      }
    }
    nowMs = untilMs;
  }

  /** Runs until all running daemons see a daemon in a state; returns the elapsed milliseconds. */
  long runUntilAllSee(String daemonId, MemberState state, long timeoutMs) {
    long startMs = nowMs;
    while (nowMs - startMs < timeoutMs && !allSee(daemonId, state)) {
      run(TICK_MS);
    }
    return nowMs - startMs;
  }

  boolean allSee(String daemonId, MemberState state) {
    return running().stream()
        .filter(id -> !id.equals(daemonId))
        .allMatch(id -> reducers.get(id).find(daemonId).map(Member::state).orElse(null) == state);
  }

  Set<Set<String>> distinctViews() {
    return running().stream().map(this::owners).collect(Collectors.toSet());
  }

  Set<String> owners(String id) {
    return reducers.get(id).view().owners().stream()
        .map(Member::daemonId)
        .collect(Collectors.toSet());
  }

  private List<String> running() {
    List<String> running = new ArrayList<>(reducers.keySet());
    running.removeAll(stopped);
    return running;
  }

  private void tick(String id, long atMs) {
    deliver(
        id,
        atMs,
        () -> {
          apply(id, new TimeEvent.Ticked(nowMs));
          tick(id, nowMs + TICK_MS);
        });
  }

  private void apply(String id, Event event) {
    for (Effect effect : reducers.get(id).reduce(event)) {
      observer.accept(effect);
      send(id, effect);
    }
  }

  private void send(String from, Effect effect) {
    if (effect instanceof MembershipEffect.SendProbe m) {
      transmit(
          from,
          m.daemonId(),
          at -> new MembershipEvent.ProbeReceived(at, from, m.sequence(), m.updates(), m.sheet()));
    } else if (effect instanceof MembershipEffect.SendProbeAck m) {
      transmit(
          from,
          m.daemonId(),
          at ->
              new MembershipEvent.ProbeAcked(
                  at, from, m.sequence(), m.memberId(), m.updates(), Optional.empty()));
    } else if (effect instanceof MembershipEffect.SendIndirectProbe m) {
      transmit(
          from,
          m.daemonId(),
          at ->
              new MembershipEvent.IndirectProbeRequested(
                  at, from, m.sequence(), m.memberId(), m.memberAddress(), m.updates()));
    }
  }

  private void transmit(String from, String to, EventFactory factory) {
    boolean lost = random.nextDouble() < messageLoss || !reducers.containsKey(to);
    if (lost || cutLinks.test(from, to)) {
      return;
    }
    deliver(to, nowMs + LATENCY_MS, () -> apply(to, factory.at(nowMs)));
  }

  private void deliver(String to, long atMs, Runnable action) {
    deliveries++;
    queue.add(new Delivery(atMs, deliveries, to, action));
  }

  private static String address(String id) {
    return "10.0.0." + Math.floorMod(id.hashCode(), 250) + ":7400";
  }

  private static String zone(String id) {
    return "zone-" + "abc".charAt(Math.floorMod(id.hashCode(), 3));
  }

  private interface EventFactory {
    Event at(long atMs);
  }

  private record Delivery(long atMs, long number, String to, Runnable action) {}
}
