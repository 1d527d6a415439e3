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
 * Maintains the state of all daemons with the SWIM protocol, probing one daemon per period.
 *
 * <p>Handles {@link MembershipEvent}s, {@link TimeEvent}s and {@link PlatformEvent.VmsListed} and
 * ignores other events. Expects several ticks per probe period. Not thread-safe.
 */
public final class MembershipReducer {

  static final long PROBE_PERIOD_MS = 1_000;
  private static final long DIRECT_PROBE_TIMEOUT_MS = 300;
  private static final long PAUSE_THRESHOLD_MS = 2 * PROBE_PERIOD_MS;
  private static final int INDIRECT_PROBES = 3;

  /** Suspicion timeout in probe periods per decimal digit of the member count. */
  private static final int SUSPICION_MULTIPLIER = 4;

  private static final int DEAD_PROBE_INTERVAL_PERIODS = 5;

  private final MembershipSettings settings;
  private final LongFunction<SheetStatus> sheetStatus;
  private final MemberTable table;
  private final GossipQueue gossip = new GossipQueue();
  private final ProbeSchedule schedule;
  private final Map<Long, PendingProbe> pending = new HashMap<>();
  private final Map<Long, RelayedProbe> relayed = new HashMap<>();
  private final Map<String, Long> suspicionDeadlinesMs = new HashMap<>();
  private final List<MemberUpdate> changes = new ArrayList<>();
  private MembershipView view;
  private long incarnation;
  private boolean leaving;
  private long sequence;
  private long periods;
  private long nextProbeMs;
  private long lastTickMs;
  private List<Member> livePeers = List.of();
  private long livePeersVersion;

  /**
   * Creates the membership of a daemon that knows no other daemon yet.
   *
   * @param settings the settings of the local daemon
   * @param sheetStatus returns the status of the local sheet at a time in milliseconds
   */
  public MembershipReducer(MembershipSettings settings, LongFunction<SheetStatus> sheetStatus) {
    this.settings = Check.notNull(settings, "settings");
    this.sheetStatus = Check.notNull(sheetStatus, "sheet");
    this.table = new MemberTable(settings.daemonId());
    this.schedule = new ProbeSchedule(settings.seed());
    this.incarnation = settings.incarnation();
    this.view = new MembershipView(1, List.of(self()));
  }

  /**
   * Handles one event.
   *
   * @param event the event
   * @return the effects for the host to perform, in order
   */
  public List<Effect> reduce(Event event) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof TimeEvent.Ticked ticked) {
      handleTick(ticked.nowMs(), effects);
    } else if (event instanceof TimeEvent.DrainRequested drain) {
      handleDrain(drain.nowMs());
    } else if (event instanceof PlatformEvent.VmsListed listed) {
      handleVmList(listed);
    } else if (event instanceof ProbeReceived probe) {
      handleProbe(probe, effects);
    } else if (event instanceof ProbeAcked ack) {
      handleAck(ack, effects);
    } else if (event instanceof IndirectProbeRequested request) {
      handleIndirectProbe(request, effects);
    } else if (event instanceof MembershipEvent.PeerUnreachable unreachable) {
      handleUnreachable(unreachable, effects);
    } else if (event instanceof MembershipEvent.PeerConnectionLost lost) {
      probe(lost.nowMs(), lost.daemonId(), effects);
    }
    publishChanges(effects);
    return effects;
  }

  /**
   * Returns the daemons that are eligible to own targets.
   *
   * @return the current view
   */
  public MembershipView view() {
    return view;
  }

  /**
   * Finds another daemon.
   *
   * @param daemonId the identity of the daemon
   * @return the daemon's known state, or empty if the daemon is unknown
   */
  public Optional<Member> find(String daemonId) {
    return table.find(daemonId);
  }

  /**
   * Returns the other daemons that are not considered dead, including suspect and leaving ones.
   *
   * @return the daemons, ordered by identity; the same list until a member changes
   */
  public List<Member> livePeers() {
    if (livePeersVersion != table.version()) {
      livePeersVersion = table.version();
      livePeers =
          table.all().stream()
              .filter(member -> member.state() != MemberState.DEAD)
              .sorted(Comparator.comparing(Member::daemonId))
              .toList();
    }
    return livePeers;
  }

  /**
   * Returns whether an identity is that of another daemon that is not considered dead.
   *
   * @param daemonId the identity of the daemon
   * @return true if the daemon is known and may be alive
   */
  public boolean isLivePeer(String daemonId) {
    return table.find(daemonId).filter(member -> member.state() != MemberState.DEAD).isPresent();
  }

  /**
   * Returns whether an identity is that of the local daemon.
   *
   * @param daemonId the identity to compare
   * @return true if it is the identity of the local daemon
   */
  public boolean isSelf(String daemonId) {
    return settings.daemonId().equals(daemonId);
  }

  /**
   * Returns the identity of the local daemon.
   *
   * @return the identity
   */
  public String selfId() {
    return settings.daemonId();
  }

  /**
   * Finds the time at which an unacknowledged probe was sent.
   *
   * @param number the sequence number of the probe
   * @return the time in milliseconds, or empty if no such probe is pending
   */
  public OptionalLong findProbeSentMs(long number) {
    PendingProbe probe = pending.get(number);
    return probe == null ? OptionalLong.empty() : OptionalLong.of(probe.sentMs());
  }

  private void handleTick(long nowMs, List<Effect> effects) {
    if (lastTickMs == 0) {
      nextProbeMs = nowMs + schedule.randomDelayMs(PROBE_PERIOD_MS);
    } else if (nowMs - lastTickMs > PAUSE_THRESHOLD_MS) {
      compensateForPause(nowMs - lastTickMs);
      nextProbeMs = nowMs;
    }
    lastTickMs = nowMs;
    advancePendingProbes(nowMs, effects);
    declareOverdueDead(nowMs);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = Math.max(nextProbeMs + PROBE_PERIOD_MS, nowMs);
      startProbePeriod(nowMs, effects);
    }
  }

  /** Drops pending probes and extends suspicions, as answers may have come during the pause. */
  private void compensateForPause(long pauseMs) {
    pending.clear();
    suspicionDeadlinesMs.replaceAll((id, untilMs) -> untilMs + pauseMs);
  }

  private void startProbePeriod(long nowMs, List<Effect> effects) {
    periods++;
    table.removeExpired(nowMs);
    relayed.values().removeIf(probe -> probe.deadlineMs() <= nowMs);
    schedule
        .next(table.all(), id -> !table.hasState(id, MemberState.DEAD))
        .ifPresent(id -> probe(nowMs, id, effects));
    if (periods % DEAD_PROBE_INTERVAL_PERIODS == 0) {
      // Lets a daemon that was considered dead during a partition learn of it and refute.
      schedule
          .sample(table.findByState(MemberState.DEAD), 1)
          .forEach(dead -> send(nowMs, dead, nextSequence(), effects));
    }
  }

  private void probe(long nowMs, String daemonId, List<Effect> effects) {
    Optional<Member> member = table.find(daemonId);
    boolean alreadyProbed = pending.values().stream().anyMatch(p -> p.daemonId().equals(daemonId));
    if (member.isEmpty() || alreadyProbed) {
      return;
    }
    long number = nextSequence();
    pending.put(
        number,
        new PendingProbe(
            number, daemonId, nowMs, nowMs + DIRECT_PROBE_TIMEOUT_MS, nowMs + PROBE_PERIOD_MS));
    send(nowMs, member.get(), number, effects);
  }

  private void send(long nowMs, Member member, long number, List<Effect> effects) {
    List<MemberUpdate> required = new ArrayList<>();
    required.add(self().toUpdate());
    if (member.state() != MemberState.ALIVE) {
      required.add(member.toUpdate());
    }
    effects.add(
        new MembershipEffect.SendProbe(
            member.daemonId(),
            member.address(),
            number,
            withGossip(required),
            sheetStatus.apply(nowMs)));
  }

  private void advancePendingProbes(long nowMs, List<Effect> effects) {
    for (PendingProbe probe : List.copyOf(pending.values())) {
      if (nowMs >= probe.suspectAtMs()) {
        pending.remove(probe.sequence());
        suspect(nowMs, probe.daemonId());
      } else if (nowMs >= probe.indirectAtMs()) {
        requestIndirectProbes(probe, effects);
      }
    }
  }

  private void requestIndirectProbes(PendingProbe probe, List<Effect> effects) {
    pending.put(probe.sequence(), probe.withIndirectRequested());
    Optional<Member> target = table.find(probe.daemonId());
    if (target.isEmpty()) {
      return;
    }
    List<Member> helpers = new ArrayList<>(table.findByState(MemberState.ALIVE));
    helpers.removeIf(helper -> helper.daemonId().equals(probe.daemonId()));
    for (Member helper : schedule.sample(helpers, INDIRECT_PROBES)) {
      effects.add(
          new MembershipEffect.SendIndirectProbe(
              helper.daemonId(),
              helper.address(),
              probe.sequence(),
              probe.daemonId(),
              target.get().address(),
              withGossip(List.of(self().toUpdate(), target.get().toUpdate()))));
    }
  }

  private void suspect(long nowMs, String daemonId) {
    Optional<Member> member = table.find(daemonId);
    if (member.isPresent() && member.get().state().compareTo(MemberState.SUSPECT) < 0) {
      apply(nowMs, MemberUpdates.withState(member.get(), MemberState.SUSPECT));
    }
  }

  private void declareOverdueDead(long nowMs) {
    List<String> overdue =
        suspicionDeadlinesMs.entrySet().stream()
            .filter(suspicion -> nowMs >= suspicion.getValue())
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    for (String daemonId : overdue) {
      table
          .find(daemonId)
          .ifPresent(member -> apply(nowMs, MemberUpdates.withState(member, MemberState.DEAD)));
    }
  }

  private void handleProbe(ProbeReceived probe, List<Effect> effects) {
    applyAll(probe.nowMs(), probe.updates());
    Optional<Member> sender = table.find(probe.fromDaemon());
    if (sender.isEmpty()) {
      return;
    }
    List<MemberUpdate> required = new ArrayList<>(List.of(self().toUpdate()));
    if (sender.get().state() != MemberState.ALIVE) {
      required.add(sender.get().toUpdate());
    }
    effects.add(
        new MembershipEffect.SendProbeAck(
            probe.fromDaemon(),
            sender.get().address(),
            probe.sequence(),
            settings.daemonId(),
            withGossip(required),
            Optional.of(sheetStatus.apply(probe.nowMs()))));
  }

  private void handleAck(ProbeAcked ack, List<Effect> effects) {
    applyAll(ack.nowMs(), ack.updates());
    pending.remove(ack.sequence());
    RelayedProbe relay = relayed.remove(ack.sequence());
    if (relay == null) {
      return;
    }
    Optional<Member> requester = table.find(relay.requester());
    Optional<Member> member = table.find(ack.memberId());
    if (requester.isEmpty() || member.isEmpty()) {
      return;
    }
    effects.add(
        new MembershipEffect.SendProbeAck(
            relay.requester(),
            requester.get().address(),
            relay.requesterSequence(),
            ack.memberId(),
            withGossip(List.of(member.get().toUpdate())),
            Optional.empty()));
  }

  private void handleIndirectProbe(IndirectProbeRequested request, List<Effect> effects) {
    applyAll(request.nowMs(), request.updates());
    Optional<Member> member = table.find(request.memberId());
    if (member.isEmpty()) {
      return;
    }
    long number = nextSequence();
    long deadlineMs = request.nowMs() + PROBE_PERIOD_MS;
    relayed.put(number, new RelayedProbe(request.fromDaemon(), request.sequence(), deadlineMs));
    send(request.nowMs(), member.get(), number, effects);
  }

  private void handleUnreachable(MembershipEvent.PeerUnreachable event, List<Effect> effects) {
    pending.values().stream()
        .filter(probe -> probe.daemonId().equals(event.daemonId()))
        .filter(probe -> probe.indirectAtMs() != PendingProbe.INDIRECT_REQUESTED)
        .toList()
        .forEach(probe -> requestIndirectProbes(probe, effects));
  }

  private void handleDrain(long nowMs) {
    if (!leaving) {
      leaving = true;
      announceSelf();
      rebuildView();
    }
  }

  private void handleVmList(PlatformEvent.VmsListed event) {
    for (Member member : table.applyVmList(event.nowMs(), event.vms())) {
      schedule.add(member.daemonId());
      changes.add(member.toUpdate());
    }
    rebuildView();
  }

  private void applyAll(long nowMs, List<MemberUpdate> updates) {
    updates.forEach(update -> apply(nowMs, update));
  }

  private void apply(long nowMs, MemberUpdate received) {
    if (received.daemonId().equals(settings.daemonId())) {
      refute(received);
      return;
    }
    Optional<Member> known = table.find(received.daemonId());
    MemberUpdate update =
        known.map(member -> MemberUpdates.resolveIncarnation(received, member)).orElse(received);
    if (table.apply(nowMs, update).isEmpty()) {
      return;
    }
    if (known.isEmpty()) {
      schedule.add(update.daemonId());
    }
    if (!MemberUpdates.confirmsVmList(known, update)) {
      gossip.add(update);
      changes.add(update);
    }
    if (update.state() == MemberState.SUSPECT) {
      suspicionDeadlinesMs.put(update.daemonId(), nowMs + suspicionTimeoutMs());
    } else {
      suspicionDeadlinesMs.remove(update.daemonId());
    }
  }

  /** Raises the incarnation to refute an update that contradicts this daemon's own state. */
  private void refute(MemberUpdate update) {
    boolean current = update.incarnation() == incarnation && update.state() == self().state();
    boolean outdated =
        update.incarnation() < incarnation && !MemberUpdates.suspectsUnknownIncarnation(update);
    boolean precedesLeaving =
        update.incarnation() == incarnation && update.state() == MemberState.ALIVE;
    if (current || outdated || precedesLeaving) {
      return;
    }
    incarnation = Math.max(incarnation, update.incarnation()) + 1;
    announceSelf();
  }

  private void announceSelf() {
    gossip.add(self().toUpdate());
  }

  private void publishChanges(List<Effect> effects) {
    if (changes.isEmpty()) {
      return;
    }
    effects.add(new MembershipEffect.MembersChanged(List.copyOf(changes)));
    changes.clear();
    rebuildView();
  }

  private void rebuildView() {
    List<Member> owners = new ArrayList<>();
    table.all().stream().filter(Member::canOwnTargets).forEach(owners::add);
    if (!leaving) {
      owners.add(self());
    }
    owners.sort(Comparator.comparing(Member::daemonId));
    view = view.withOwners(owners);
  }

  private List<MemberUpdate> withGossip(List<MemberUpdate> required) {
    return gossip.select(table.all().size() + 1, required);
  }

  private Member self() {
    MemberState state = leaving ? MemberState.LEAVING : MemberState.ALIVE;
    return new Member(
        settings.daemonId(), settings.address(), settings.zone(), incarnation, state, leaving, 0);
  }

  private long suspicionTimeoutMs() {
    double digits = Math.log10(table.all().size() + 2.0);
    return (long) Math.ceil(SUSPICION_MULTIPLIER * digits * PROBE_PERIOD_MS);
  }

  private long nextSequence() {
    sequence++;
    return sequence;
  }
}
