package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Determines the order of probes: each member once per round, in a new random order for each round,
 * which bounds the time until a member is probed. Not thread-safe.
 */
final class ProbeSchedule {

  private final SplittableRandom random;
  private final List<String> remainingInRound = new ArrayList<>();

  /**
   * Creates a schedule.
   *
   * @param seed the random seed
   */
  ProbeSchedule(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Removes and returns the next member of the round; starts a new round if none remains.
   *
   * @param members all members
   * @param eligible the condition that a member must meet to be probed
   * @return the identity of the member, or empty if no member is eligible
   */
  Optional<String> next(Collection<Member> members, Predicate<String> eligible) {
    Optional<String> next = pollEligible(eligible);
    if (next.isPresent()) {
      return next;
    }
    members.stream().map(Member::daemonId).filter(eligible).sorted().forEach(remainingInRound::add);
    return pollEligible(eligible);
  }

  /**
   * Adds a new member to the current round.
   *
   * @param daemonId the identity of the member
   */
  void add(String daemonId) {
    remainingInRound.add(daemonId);
  }

  /**
   * Samples candidates at random, without replacement.
   *
   * @param candidates the members to choose from
   * @param count the maximum number of members to return
   * @return the sampled members
   */
  List<Member> sample(List<Member> candidates, int count) {
    List<Member> remaining = new ArrayList<>(candidates);
    List<Member> sampled = new ArrayList<>(count);
    while (sampled.size() < count && !remaining.isEmpty()) {
      int index = random.nextInt(remaining.size());
      sampled.add(remaining.get(index));
      remaining.set(index, remaining.get(remaining.size() - 1));
      remaining.remove(remaining.size() - 1);
    }
    return sampled;
  }

  /**
   * Returns a random delay.
   *
   * @param boundMs the exclusive upper bound in milliseconds
   * @return a delay of at least 0 milliseconds
   */
  long randomDelayMs(long boundMs) {
    return random.nextLong(boundMs);
  }

  private Optional<String> pollEligible(Predicate<String> eligible) {
    while (!remainingInRound.isEmpty()) {
      int index = random.nextInt(remainingInRound.size());
      String daemonId = remainingInRound.get(index);
      remainingInRound.set(index, remainingInRound.get(remainingInRound.size() - 1));
      remainingInRound.remove(remainingInRound.size() - 1);
      if (eligible.test(daemonId)) {
        return Optional.of(daemonId);
      }
    }
    return Optional.empty();
  }
}
