package org.sequoiareach.decision.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipReducer;

/**
 * Chooses, for each availability zone of a large fleet, the daemon that adds up what the daemons of
 * the zone report, exchanges the sums with the other zones and tells them to its zone.
 *
 * <p>Answers the load of a fleet in which each daemon would otherwise report to every other one.
 * Daemons that disagree about a relay turn to the first, in an order that all share, of those that
 * tell them sums. A relay that stays silent is replaced before the membership considers it dead.
 * Not thread-safe.
 */
final class ZoneRelays {

  /** The number of other daemons up to which each of them is told directly. */
  static final int MAX_DIRECT_PEERS = PeerRotation.MAX_RECIPIENTS;

  /** The time without a report after which a relay is considered silent. */
  private static final long MAX_SILENCE_MS = 1_200;

  /** How long a silent relay is not used. */
  private static final long AVOID_MS = 5_000;

  private static final Comparator<Member> ORDER =
      Comparator.comparingLong((Member member) -> hash(member.daemonId()))
          .thenComparing(Member::daemonId);

  private final MembershipReducer membership;
  private final String zone;
  private final Map<String, Long> sumHeardMs = new HashMap<>();
  private final Map<String, Long> zoneSumHeardMs = new HashMap<>();
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private Optional<Member> relay = Optional.empty();
  private Map<String, Member> first = Map.of();
  private List<Member> ranked = List.of();
  private long version = -1;
  private long chosenMs;

  ZoneRelays(MembershipReducer membership, String zone) {
    this.membership = membership;
    this.zone = zone;
  }

  /** Returns whether there are too many daemons to tell each of them directly. */
  boolean isNeeded() {
    return membership.view().owners().size() > MAX_DIRECT_PEERS + 1;
  }

  /** Returns whether this daemon is the relay of its zone. */
  boolean isSelf() {
    return isNeeded() && relay.filter(member -> membership.isSelf(member.daemonId())).isPresent();
  }

  /** Returns the relay of this daemon's zone; empty before the first tick. */
  Optional<Member> own() {
    return relay;
  }

  /** Returns the relays of the other zones, including those that told their sums recently. */
  List<Member> others() {
    Map<String, Member> others = new HashMap<>();
    first.values().stream()
        .filter(member -> !member.zone().equals(zone))
        .forEach(member -> others.put(member.daemonId(), member));
    zoneSumHeardMs.keySet().stream()
        .flatMap(daemonId -> membership.find(daemonId).stream())
        .forEach(member -> others.put(member.daemonId(), member));
    return List.copyOf(others.values());
  }

  /** Returns whether a daemon belongs to this zone; the zone of one that is only listed may not. */
  boolean isOfZone(Member member) {
    return member.incarnation() > 0 && member.zone().equals(zone);
  }

  /** Returns whether a relay tells its sums to a daemon, which may turn out to be of its zone. */
  boolean tellsSumsTo(Member member) {
    return isOfZone(member)
        || member.incarnation() == 0 && zoneSumHeardMs.containsKey(member.daemonId());
  }

  /**
   * Records that a daemon told the sum of all others.
   *
   * @return false if the daemon is of another zone, and so not the relay of this one
   */
  boolean onSumHeard(long nowMs, String daemonId) {
    if (membership.find(daemonId).filter(this::isOfZone).isEmpty()) {
      return false;
    }
    sumHeardMs.put(daemonId, nowMs);
    avoidedUntilMs.remove(daemonId);
    return true;
  }

  /** Records that a daemon told its own use or, if it is of another zone, that of its zone. */
  void onReportHeard(long nowMs, String daemonId) {
    if (membership.find(daemonId).filter(member -> !isOfZone(member)).isPresent()) {
      zoneSumHeardMs.put(daemonId, nowMs);
    }
  }

  void tick(long nowMs) {
    if (membership.view().version() != version) {
      version = membership.view().version();
      rank(membership.view().owners());
    }
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    sumHeardMs.values().removeIf(heardMs -> nowMs - heardMs > MAX_SILENCE_MS);
    zoneSumHeardMs.values().removeIf(heardMs -> nowMs - heardMs > MAX_SILENCE_MS);
    boolean silent =
        relay
            .filter(member -> !membership.isSelf(member.daemonId()))
            .filter(member -> !sumHeardMs.containsKey(member.daemonId()))
            .isPresent();
    if (silent && nowMs - chosenMs > MAX_SILENCE_MS) {
      avoidedUntilMs.put(relay.get().daemonId(), nowMs + AVOID_MS);
    }
    Optional<Member> next =
        Stream.concat(
                ranked.stream()
                    .filter(member -> !avoidedUntilMs.containsKey(member.daemonId()))
                    .limit(1),
                sumHeardMs.keySet().stream().flatMap(id -> membership.find(id).stream()))
            .min(ORDER);
    if (!next.map(Member::daemonId).equals(relay.map(Member::daemonId))) {
      chosenMs = nowMs;
    }
    relay = next;
  }

  private void rank(List<Member> members) {
    List<Member> all = members.stream().filter(this::isKnown).sorted(ORDER).toList();
    ranked = all.stream().filter(member -> member.zone().equals(zone)).toList();
    first = new HashMap<>();
    all.forEach(member -> first.putIfAbsent(member.zone(), member));
  }

  /** Returns whether the zone of a daemon is known from itself. */
  private boolean isKnown(Member member) {
    return membership.isSelf(member.daemonId()) || member.incarnation() > 0;
  }

  private static long hash(String daemonId) {
    return MurmurHash3.hash128x64(("relay " + daemonId).getBytes(StandardCharsets.UTF_8))[0];
  }
}
