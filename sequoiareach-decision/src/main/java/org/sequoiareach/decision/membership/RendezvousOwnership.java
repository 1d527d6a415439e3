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
 * {@link OwnershipStrategy} based on weighted rendezvous hashing (highest random weight).
 *
 * <p>Daemons with the same view agree on every owner. A joining or leaving daemon moves only the
 * targets that it gains or loses. A daemon in the target's availability zone has {@link
 * #SAME_ZONE_WEIGHT} times the weight of a daemon in another zone, which keeps most owners in the
 * zone and still spreads the targets of a zone that has lost most of its daemons.
 *
 * <p>Assignments are cached and updated incrementally when the view changes. Daemons with different
 * views may both act as owner of a target for a while. Each then admits calls without regard to the
 * other's reservations, so that the target may be overcommitted until the views agree; there are no
 * other consequences.
 */
public final class RendezvousOwnership implements OwnershipStrategy {

  /** The weight of a daemon in the target's zone, relative to 1 for a daemon in another zone. */
  public static final double SAME_ZONE_WEIGHT = 8;

  private static final int MAX_CACHED_TARGETS = 1 << 16;
  private static final double HASH_RANGE = 4_294_967_296.0;

  private final Map<String, Assignment> assignments = new HashMap<>();
  private Map<String, Candidate> candidates = Map.of();
  private long version;

  @Override
  public Optional<Member> findOwner(String targetId, String zone, MembershipView view) {
    Check.hasText(targetId, "targetId");
    if (view.version() != version) {
      applyView(view);
    }
    Assignment assignment = assignments.get(targetId);
    if (assignment == null || !assignment.zone.equals(zone)) {
      if (assignments.size() >= MAX_CACHED_TARGETS) {
        assignments.clear();
      }
      assignment = new Assignment(hash(targetId), zone);
      assignment.considerAll(candidates.values());
      assignments.put(targetId, assignment);
    }
    return Optional.ofNullable(assignment.owner).map(Candidate::member);
  }

  private void applyView(MembershipView view) {
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
    assignments.values().forEach(assignment -> assignment.update(next, added));
    candidates = next;
    version = view.version();
  }

  private static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * A daemon that is eligible to own targets.
   *
   * @param member the daemon
   * @param hash the hash of its identity
   */
  private record Candidate(Member member, long hash) {}

  /** The owner of a target and its score. */
  private static final class Assignment {

    private final long hash;
    private final String zone;
    private Candidate owner;
    private double score;

    private Assignment(long hash, String zone) {
      this.hash = hash;
      this.zone = zone;
    }

    private void update(Map<String, Candidate> eligible, List<Candidate> added) {
      Candidate current = owner == null ? null : eligible.get(owner.member.daemonId());
      boolean ownerLost = current == null || !current.member.zone().equals(owner.member.zone());
      owner = current;
      considerAll(ownerLost ? reset(eligible) : added);
    }

    private Iterable<Candidate> reset(Map<String, Candidate> eligible) {
      owner = null;
      return eligible.values();
    }

    /** Replaces the owner if the best of the given candidates has a higher score. */
    private void considerAll(Iterable<Candidate> candidates) {
      Candidate sameZone = null;
      Candidate otherZone = null;
      long sameZoneHash = -1;
      long otherZoneHash = -1;
      for (Candidate candidate : candidates) {
        long combinedHash = combinedHash(candidate);
        if (candidate.member.zone().equals(zone)) {
          if (isBetter(combinedHash, candidate, sameZoneHash, sameZone)) {
            sameZone = candidate;
            sameZoneHash = combinedHash;
          }
        } else if (isBetter(combinedHash, candidate, otherZoneHash, otherZone)) {
          otherZone = candidate;
          otherZoneHash = combinedHash;
        }
      }
      consider(sameZone, sameZoneHash, SAME_ZONE_WEIGHT);
      consider(otherZone, otherZoneHash, 1);
    }

    private void consider(Candidate candidate, long combinedHash, double weight) {
      if (candidate == null) {
        return;
      }
      double candidateScore = -weight / Math.log((combinedHash + 0.5) / HASH_RANGE);
      if (owner == null
          || candidateScore > score
          || candidateScore == score && precedes(candidate, owner)) {
        owner = candidate;
        score = candidateScore;
      }
    }

    private long combinedHash(Candidate candidate) {
      return Integer.toUnsignedLong(MurmurHash3.hash32(hash, candidate.hash));
    }

    private static boolean isBetter(
        long combinedHash, Candidate candidate, long bestHash, Candidate best) {
      return combinedHash > bestHash || combinedHash == bestHash && precedes(candidate, best);
    }

    private static boolean precedes(Candidate one, Candidate other) {
      return one.member.daemonId().compareTo(other.member.daemonId()) < 0;
    }
  }
}
