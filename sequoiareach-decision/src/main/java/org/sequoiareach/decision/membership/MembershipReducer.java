package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEvent.IndirectProbeRequested;
import org.sequoiareach.decision.membership.MembershipEvent.ProbeAcked;
import org.sequoiareach.decision.membership.MembershipEvent.ProbeReceived;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Keeps the beliefs about all daemons by probing one of them a period.
 *
 * <p>Takes {@link MembershipEvent}s, {@link TimeEvent}s and {@link PlatformEvent.VmsListed}; other
 * events change nothing. Ticks must come several times a period. Not thread-safe.
 */
public final class MembershipReducer {

  static final long PERIOD_MS = 1_000;
  private static final long DIRECT_TIMEOUT_MS = 300;
  private static final long PAUSE_MS = 2 * PERIOD_MS;
  private static final int INDIRECT_PROBES = 3;
  private static final int SUSPICION_PERIODS_PER_DIGIT = 4;
  private static final int DEAD_PROBE_PERIODS = 5;

  private final MembershipSettings settings;
  private final LongFunction<SheetStatus> sheet;
  private final MemberTable table;
  private final GossipQueue gossip = new GossipQueue();
  private final ProbeSchedule schedule;
  private final Map<Long, PendingProbe> pending = new HashMap<>();
  private final Map<Long, RelayedProbe> relayed = new HashMap<>();
  private final Map<String, Long> suspectedUntilMs = new HashMap<>();
  private final List<MemberUpdate> changes = new ArrayList<>();
  private MembershipView view;
  private long incarnation;
  private boolean leaving;
  private long sequence;
  private long periods;
  private long nextProbeMs;
  private long lastTickMs;

  /**
   * Creates the membership of a daemon that knows of no other.
   *
   * @param settings what it needs to know of its own daemon
   * @param sheet tells what this daemon holds of the sheet at a time
   */
  public MembershipReducer(MembershipSettings settings, LongFunction<SheetStatus> sheet) {
    this.settings = Check.notNull(settings, "settings");
    this.sheet = Check.notNull(sheet, "sheet");
    this.table = new MemberTable(settings.daemonId());
    this.schedule = new ProbeSchedule(settings.seed());
    this.incarnation = settings.incarnation();
    this.view = new MembershipView(1, List.of(self()));
  }

  /**
   * Takes one event.
   *
   * @param event the event
   * @return what the host is to do, in order
   */
  public List<Effect> reduce(Event event) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof TimeEvent.Ticked ticked) {
      onTick(ticked.nowMs(), effects);
    } else if (event instanceof TimeEvent.DrainRequested drain) {
      onDrain(drain.nowMs());
    } else if (event instanceof PlatformEvent.VmsListed listed) {
      onList(listed);
    } else if (event instanceof ProbeReceived probe) {
      onProbe(probe, effects);
    } else if (event instanceof ProbeAcked ack) {
      onAck(ack, effects);
    } else if (event instanceof IndirectProbeRequested request) {
      onIndirectProbe(request, effects);
    } else if (event instanceof MembershipEvent.PeerUnreachable unreachable) {
      onUnreachable(unreachable, effects);
    } else if (event instanceof MembershipEvent.PeerConnectionLost lost) {
      probe(lost.nowMs(), lost.daemonId(), effects);
    }
    publish(effects);
    return effects;
  }

  /**
   * Returns the daemons that may own targets.
   *
   * @return the current view
   */
  public MembershipView view() {
    return view;
  }

  /**
   * Finds the belief about another daemon.
   *
   * @param daemonId the daemon
   * @return the belief, or empty if it is not known
   */
  public Optional<Member> find(String daemonId) {
    return table.find(daemonId);
  }

  /**
   * Returns the other daemons that are not taken for dead, leaving ones included.
   *
   * @return the daemons, ordered by identity
   */
  public List<Member> others() {
    return table.all().stream()
        .filter(member -> member.state() != MemberState.DEAD)
        .sorted(Comparator.comparing(Member::daemonId))
        .toList();
  }

  /**
   * Tells whether an identity is that of this daemon.
   *
   * @param daemonId the identity
   * @return true if it is
   */
  public boolean isSelf(String daemonId) {
    return settings.daemonId().equals(daemonId);
  }

  /**
   * Finds when a probe was sent that is not answered yet.
   *
   * @param number the number of the probe
   * @return the time, or empty if no such probe is under way
   */
  public OptionalLong findAskedMs(long number) {
    PendingProbe probe = pending.get(number);
    return probe == null ? OptionalLong.empty() : OptionalLong.of(probe.sentMs());
  }

  private void onTick(long nowMs, List<Effect> effects) {
    if (lastTickMs == 0) {
      nextProbeMs = nowMs + schedule.drawMs(PERIOD_MS);
    } else if (nowMs - lastTickMs > PAUSE_MS) {
      forgivePause(nowMs - lastTickMs);
      nextProbeMs = nowMs;
    }
    lastTickMs = nowMs;
    advancePending(nowMs, effects);
    buryOverdue(nowMs);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = Math.max(nextProbeMs + PERIOD_MS, nowMs);
      onPeriod(nowMs, effects);
    }
  }

  /** What this process missed while it was paused is not held against others. */
  private void forgivePause(long gapMs) {
    pending.clear();
    suspectedUntilMs.replaceAll((id, untilMs) -> untilMs + gapMs);
  }

  private void onPeriod(long nowMs, List<Effect> effects) {
    periods++;
    table.forgetDead(nowMs);
    relayed.values().removeIf(probe -> probe.deadlineMs() <= nowMs);
    schedule
        .next(table.all(), id -> !table.isIn(id, MemberState.DEAD))
        .ifPresent(id -> probe(nowMs, id, effects));
    if (periods % DEAD_PROBE_PERIODS == 0) {
      // A daemon taken for dead on the other side of a healed link learns of it and refutes.
      schedule
          .draw(table.inState(MemberState.DEAD), 1)
          .forEach(dead -> send(nowMs, dead, nextSequence(), effects));
    }
  }

  private void probe(long nowMs, String daemonId, List<Effect> effects) {
    Optional<Member> member = table.find(daemonId);
    boolean underWay = pending.values().stream().anyMatch(p -> p.daemonId().equals(daemonId));
    if (member.isEmpty() || underWay) {
      return;
    }
    long number = nextSequence();
    pending.put(
        number,
        new PendingProbe(number, daemonId, nowMs, nowMs + DIRECT_TIMEOUT_MS, nowMs + PERIOD_MS));
    send(nowMs, member.get(), number, effects);
  }

  private void send(long nowMs, Member member, long number, List<Effect> effects) {
    List<MemberUpdate> first = new ArrayList<>();
    first.add(self().toUpdate());
    if (member.state() != MemberState.ALIVE) {
      first.add(member.toUpdate());
    }
    effects.add(
        new MembershipEffect.SendProbe(
            member.daemonId(), member.address(), number, news(first), sheet.apply(nowMs)));
  }

  private void advancePending(long nowMs, List<Effect> effects) {
    for (PendingProbe probe : List.copyOf(pending.values())) {
      if (nowMs >= probe.suspectAtMs()) {
        pending.remove(probe.sequence());
        suspect(nowMs, probe.daemonId());
      } else if (nowMs >= probe.indirectAtMs()) {
        askOthers(probe, effects);
      }
    }
  }

  private void askOthers(PendingProbe probe, List<Effect> effects) {
    pending.put(probe.sequence(), probe.withOthersAsked());
    Optional<Member> target = table.find(probe.daemonId());
    if (target.isEmpty()) {
      return;
    }
    List<Member> helpers = new ArrayList<>(table.inState(MemberState.ALIVE));
    helpers.removeIf(helper -> helper.daemonId().equals(probe.daemonId()));
    for (Member helper : schedule.draw(helpers, INDIRECT_PROBES)) {
      effects.add(
          new MembershipEffect.SendIndirectProbe(
              helper.daemonId(),
              helper.address(),
              probe.sequence(),
              probe.daemonId(),
              target.get().address(),
              news(List.of(self().toUpdate(), target.get().toUpdate()))));
    }
  }

  private void suspect(long nowMs, String daemonId) {
    Optional<Member> member = table.find(daemonId);
    if (member.isPresent() && member.get().state().compareTo(MemberState.SUSPECT) < 0) {
      adopt(nowMs, MemberUpdates.inState(member.get(), MemberState.SUSPECT));
    }
  }

  private void buryOverdue(long nowMs) {
    List<String> overdue =
        suspectedUntilMs.entrySet().stream()
            .filter(suspicion -> nowMs >= suspicion.getValue())
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    for (String daemonId : overdue) {
      table
          .find(daemonId)
          .ifPresent(member -> adopt(nowMs, MemberUpdates.inState(member, MemberState.DEAD)));
    }
  }

  private void onProbe(ProbeReceived probe, List<Effect> effects) {
    adoptAll(probe.nowMs(), probe.updates());
    Optional<Member> sender = table.find(probe.fromDaemon());
    if (sender.isEmpty()) {
      return;
    }
    List<MemberUpdate> first = new ArrayList<>(List.of(self().toUpdate()));
    if (sender.get().state() != MemberState.ALIVE) {
      first.add(sender.get().toUpdate());
    }
    effects.add(
        new MembershipEffect.SendProbeAck(
            probe.fromDaemon(),
            sender.get().address(),
            probe.sequence(),
            settings.daemonId(),
            news(first),
            Optional.of(sheet.apply(probe.nowMs()))));
  }

  private void onAck(ProbeAcked ack, List<Effect> effects) {
    adoptAll(ack.nowMs(), ack.updates());
    pending.remove(ack.sequence());
    RelayedProbe relay = relayed.remove(ack.sequence());
    if (relay == null) {
      return;
    }
    Optional<Member> origin = table.find(relay.forDaemon());
    Optional<Member> member = table.find(ack.memberId());
    if (origin.isEmpty() || member.isEmpty()) {
      return;
    }
    effects.add(
        new MembershipEffect.SendProbeAck(
            relay.forDaemon(),
            origin.get().address(),
            relay.theirSequence(),
            ack.memberId(),
            news(List.of(member.get().toUpdate())),
            Optional.empty()));
  }

  private void onIndirectProbe(IndirectProbeRequested request, List<Effect> effects) {
    adoptAll(request.nowMs(), request.updates());
    Optional<Member> member = table.find(request.memberId());
    if (member.isEmpty()) {
      return;
    }
    long number = nextSequence();
    long deadlineMs = request.nowMs() + PERIOD_MS;
    relayed.put(number, new RelayedProbe(request.fromDaemon(), request.sequence(), deadlineMs));
    send(request.nowMs(), member.get(), number, effects);
  }

  private void onUnreachable(MembershipEvent.PeerUnreachable event, List<Effect> effects) {
    pending.values().stream()
        .filter(probe -> probe.daemonId().equals(event.daemonId()))
        .filter(probe -> probe.indirectAtMs() != PendingProbe.ASKED)
        .toList()
        .forEach(probe -> askOthers(probe, effects));
  }

  private void onDrain(long nowMs) {
    if (!leaving) {
      leaving = true;
      announceSelf();
      rebuildView();
    }
  }

  private void onList(PlatformEvent.VmsListed event) {
    for (Member member : table.adoptList(event.nowMs(), event.vms())) {
      schedule.add(member.daemonId());
      changes.add(member.toUpdate());
    }
    rebuildView();
  }

  private void adoptAll(long nowMs, List<MemberUpdate> updates) {
    updates.forEach(update -> adopt(nowMs, update));
  }

  private void adopt(long nowMs, MemberUpdate told) {
    if (told.daemonId().equals(settings.daemonId())) {
      refute(told);
      return;
    }
    Optional<Member> known = table.find(told.daemonId());
    MemberUpdate update = known.map(member -> MemberUpdates.aboutKnown(told, member)).orElse(told);
    if (table.adopt(nowMs, update).isEmpty()) {
      return;
    }
    if (known.isEmpty()) {
      schedule.add(update.daemonId());
    }
    if (!MemberUpdates.confirmsList(known, update)) {
      gossip.add(update);
      changes.add(update);
    }
    if (update.state() == MemberState.SUSPECT) {
      suspectedUntilMs.put(update.daemonId(), nowMs + suspicionMs());
    } else {
      suspectedUntilMs.remove(update.daemonId());
    }
  }

  /** Raises the incarnation over news of this daemon that is not its own latest. */
  private void refute(MemberUpdate update) {
    boolean own = update.incarnation() == incarnation && update.state() == self().state();
    boolean older = update.incarnation() < incarnation && !MemberUpdates.doubtsListed(update);
    boolean beforeLeaving =
        update.incarnation() == incarnation && update.state() == MemberState.ALIVE;
    if (own || older || beforeLeaving) {
      return;
    }
    incarnation = Math.max(incarnation, update.incarnation()) + 1;
    announceSelf();
  }

  private void announceSelf() {
    gossip.add(self().toUpdate());
  }

  private void publish(List<Effect> effects) {
    if (changes.isEmpty()) {
      return;
    }
    effects.add(new MembershipEffect.MembersChanged(List.copyOf(changes)));
    changes.clear();
    rebuildView();
  }

  private void rebuildView() {
    List<Member> owners = new ArrayList<>();
    table.all().stream().filter(Member::mayOwn).forEach(owners::add);
    if (!leaving) {
      owners.add(self());
    }
    owners.sort(Comparator.comparing(Member::daemonId));
    view = view.withOwners(owners);
  }

  private List<MemberUpdate> news(List<MemberUpdate> first) {
    return gossip.take(table.all().size() + 1, first);
  }

  private Member self() {
    MemberState state = leaving ? MemberState.LEAVING : MemberState.ALIVE;
    return new Member(
        settings.daemonId(), settings.address(), settings.zone(), incarnation, state, leaving, 0);
  }

  private long suspicionMs() {
    double digits = Math.log10(table.all().size() + 2.0);
    return (long) Math.ceil(SUSPICION_PERIODS_PER_DIGIT * digits * PERIOD_MS);
  }

  private long nextSequence() {
    sequence++;
    return sequence;
  }
}
