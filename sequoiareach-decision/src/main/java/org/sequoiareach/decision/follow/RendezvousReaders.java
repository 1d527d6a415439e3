package org.sequoiareach.decision.follow;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.sequoiareach.decision.membership.Member;
import org.sequoiareach.decision.membership.MembershipView;
import org.sequoiareach.model.Check;

/**
 * {@link ReaderStrategy} that takes the daemons with the highest hashes, from different
 * availability zones as far as there are enough. Daemons with the same view agree on the readers,
 * and a daemon that joins or leaves replaces one reader at most in most cases.
 */
public final class RendezvousReaders implements ReaderStrategy {

  private final int count;
  private Set<String> readers = Set.of();
  private long version = -1;

  /**
   * Creates the strategy.
   *
   * @param count the number of readers
   */
  public RendezvousReaders(int count) {
    this.count = (int) Check.inRange(count, 1, Integer.MAX_VALUE, "count");
  }

  @Override
  public boolean isReader(String daemonId, MembershipView view) {
    if (view.version() != version) {
      version = view.version();
      readers = select(view.owners());
    }
    return readers.contains(daemonId);
  }

  private Set<String> select(List<Member> members) {
    List<Member> ranked =
        members.stream()
            .sorted(
                Comparator.comparingLong((Member member) -> hash(member.daemonId()))
                    .thenComparing(Member::daemonId))
            .toList();
    Set<String> selected = new LinkedHashSet<>();
    Set<String> zones = new HashSet<>();
    ranked.stream()
        .filter(member -> zones.add(member.zone()))
        .limit(count)
        .forEach(member -> selected.add(member.daemonId()));
    ranked.stream()
        .filter(member -> !selected.contains(member.daemonId()))
        .limit(count - selected.size())
        .forEach(member -> selected.add(member.daemonId()));
    return selected;
  }

  private static long hash(String daemonId) {
    return MurmurHash3.hash128x64(daemonId.getBytes(StandardCharsets.UTF_8))[0];
  }
}
