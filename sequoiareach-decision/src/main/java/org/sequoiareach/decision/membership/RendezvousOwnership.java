package org.sequoiareach.decision.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.sequoiareach.model.Check;

/**
 * Chooses owners by rendezvous hashing (highest random weight): all daemons that agree on the
 * members agree on the owner, and a member that comes or goes moves only the targets that it gains
 * or had.
 *
 * <p>A daemon in the target's availability zone weighs {@link #SAME_ZONE_WEIGHT} times as much as
 * another, which keeps most owners near and still spreads the targets of a zone that has lost most
 * of its daemons. Owners are kept until the view changes; a change is applied to them as a
 * difference. Two daemons with different views may both act as owner of one target for a while:
 * each then admits without the other's reservations, so that the target may be overcommitted until
 * the views agree, and nothing else follows.
 */
public final class RendezvousOwnership implements OwnershipStrategy {

  /** The weight of a daemon in the target's zone; one elsewhere weighs 1. */
  public static final double SAME_ZONE_WEIGHT = 8;

  private static final int MAX_TARGETS = 1 << 16;
  private static final double HASH_RANGE = 4_294_967_296.0;

  private final Map<String, Owned> owners = new HashMap<>();
  private Map<String, Candidate> candidates = Map.of();
  private long version;

  @Override
  public Optional<Member> findOwner(String targetId, String zone, MembershipView view) {
    Check.hasText(targetId, "targetId");
    if (view.version() != version) {
      adopt(view);
    }
    Owned owned = owners.get(targetId);
    if (owned == null || !owned.zone.equals(zone)) {
      if (owners.size() >= MAX_TARGETS) {
        owners.clear();
      }
      owned = new Owned(hash(targetId), zone);
      owned.chooseFrom(candidates.values());
      owners.put(targetId, owned);
    }
    return Optional.ofNullable(owned.owner).map(Candidate::member);
  }

  private void adopt(MembershipView view) {
    Map<String, Candidate> next = new HashMap<>();
    List<Candidate> added = new ArrayList<>();
    for (Member member : view.owners()) {
      Candidate known = candidates.get(member.daemonId());
      boolean same = known != null && known.member.zone().equals(member.zone());
      long hash = known == null ? hash(member.daemonId()) : known.hash;
      Candidate candidate = new Candidate(member, hash);
      next.put(member.daemonId(), candidate);
      if (!same) {
        added.add(candidate);
      }
    }
    owners.values().forEach(owned -> owned.update(next, added));
    candidates = next;
    version = view.version();
  }

  private static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Is a daemon that may own targets.
   *
   * @param member the daemon
   * @param hash the hash of its identity
   */
  private record Candidate(Member member, long hash) {}

  /** Holds the owner of one target and the score that made it the owner. */
  private static final class Owned {

    private final long hash;
    private final String zone;
    private Candidate owner;
    private double score;

    private Owned(long hash, String zone) {
      this.hash = hash;
      this.zone = zone;
    }

    private void update(Map<String, Candidate> all, List<Candidate> added) {
      Candidate still = owner == null ? null : all.get(owner.member.daemonId());
      boolean gone = still == null || !still.member.zone().equals(owner.member.zone());
      owner = still;
      chooseFrom(gone ? restart(all) : added);
    }

    private Iterable<Candidate> restart(Map<String, Candidate> all) {
      owner = null;
      return all.values();
    }

    /** Takes the best of the offered candidates if it beats the owner. */
    private void chooseFrom(Iterable<Candidate> offered) {
      Candidate near = null;
      Candidate far = null;
      long nearDraw = -1;
      long farDraw = -1;
      for (Candidate candidate : offered) {
        long draw = draw(candidate);
        if (candidate.member.zone().equals(zone)) {
          if (beats(draw, candidate, nearDraw, near)) {
            near = candidate;
            nearDraw = draw;
          }
        } else if (beats(draw, candidate, farDraw, far)) {
          far = candidate;
          farDraw = draw;
        }
      }
      consider(near, nearDraw, SAME_ZONE_WEIGHT);
      consider(far, farDraw, 1);
    }

    private void consider(Candidate candidate, long draw, double weight) {
      if (candidate == null) {
        return;
      }
      double offered = -weight / Math.log((draw + 0.5) / HASH_RANGE);
      if (owner == null || offered > score || offered == score && isEarlier(candidate, owner)) {
        owner = candidate;
        score = offered;
      }
    }

    private long draw(Candidate candidate) {
      return Integer.toUnsignedLong(MurmurHash3.hash32(hash, candidate.hash));
    }

    private static boolean beats(long draw, Candidate candidate, long bestDraw, Candidate best) {
      return draw > bestDraw || draw == bestDraw && isEarlier(candidate, best);
    }

    private static boolean isEarlier(Candidate one, Candidate other) {
      return one.member.daemonId().compareTo(other.member.daemonId()) < 0;
    }
  }
}
