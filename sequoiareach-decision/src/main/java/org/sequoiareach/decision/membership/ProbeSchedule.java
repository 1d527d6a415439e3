package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Orders probes: every member once a round, in an order drawn anew for each round, so that the time
 * until a member is probed is bounded.
 */
final class ProbeSchedule {

  private final SplittableRandom random;
  private final List<String> round = new ArrayList<>();

  /**
   * Creates a schedule.
   *
   * @param seed the seed of all draws
   */
  ProbeSchedule(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Takes the next member of the round, starting a new round where it is over.
   *
   * @param members all members
   * @param wanted tells whether a member is to be probed still
   * @return the member, or empty if none is wanted
   */
  Optional<String> next(Collection<Member> members, Predicate<String> wanted) {
    Optional<String> left = takeWanted(wanted);
    if (left.isPresent()) {
      return left;
    }
    members.stream().map(Member::daemonId).filter(wanted).sorted().forEach(round::add);
    return takeWanted(wanted);
  }

  /**
   * Adds a new member to the round that is under way.
   *
   * @param daemonId the member
   */
  void add(String daemonId) {
    round.add(daemonId);
  }

  /**
   * Draws some of the candidates.
   *
   * @param candidates the candidates
   * @param count how many at most
   * @return the drawn ones
   */
  List<Member> draw(List<Member> candidates, int count) {
    List<Member> left = new ArrayList<>(candidates);
    List<Member> drawn = new ArrayList<>(count);
    while (drawn.size() < count && !left.isEmpty()) {
      int index = random.nextInt(left.size());
      drawn.add(left.get(index));
      left.set(index, left.get(left.size() - 1));
      left.remove(left.size() - 1);
    }
    return drawn;
  }

  /**
   * Draws a time.
   *
   * @param boundMs the bound, exclusive
   * @return a time from 0
   */
  long drawMs(long boundMs) {
    return random.nextLong(boundMs);
  }

  private Optional<String> takeWanted(Predicate<String> wanted) {
    while (!round.isEmpty()) {
      int index = random.nextInt(round.size());
      String daemonId = round.get(index);
      round.set(index, round.get(round.size() - 1));
      round.remove(round.size() - 1);
      if (wanted.test(daemonId)) {
        return Optional.of(daemonId);
      }
    }
    return Optional.empty();
  }
}
