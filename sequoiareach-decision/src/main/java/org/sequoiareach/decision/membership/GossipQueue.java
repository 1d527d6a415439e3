package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiareach.model.platform.MemberUpdate;

/** Chooses the news that travels with a message: the least often sent first, within a bound. */
final class GossipQueue {

  private static final int MAX_BYTES = 512;
  private static final int TRANSMISSIONS_PER_DIGIT = 4;
  private static final int FIXED_BYTES = 14;

  private final Map<String, Entry> entries = new HashMap<>();

  /**
   * Adds news, in place of older news of the same daemon.
   *
   * @param update the news
   */
  void add(MemberUpdate update) {
    entries.put(update.daemonId(), new Entry(update));
  }

  /**
   * Takes news for one message.
   *
   * @param members the count of members, by which it is told how often news must be sent
   * @param first news that travels in any case, ahead of the rest
   * @return the news
   */
  List<MemberUpdate> take(int members, List<MemberUpdate> first) {
    List<MemberUpdate> taken = new ArrayList<>(first);
    if (entries.isEmpty()) {
      return taken;
    }
    int room = MAX_BYTES - first.stream().mapToInt(GossipQueue::sizeOf).sum();
    int limit = transmissions(members);
    for (Entry entry : leastSentFirst()) {
      int size = sizeOf(entry.update);
      if (size > room) {
        break;
      }
      room -= size;
      taken.add(entry.update);
      entry.sent++;
      if (entry.sent >= limit) {
        entries.remove(entry.update.daemonId());
      }
    }
    return taken;
  }

  private List<Entry> leastSentFirst() {
    List<Entry> ordered = new ArrayList<>(entries.values());
    ordered.sort(
        Comparator.comparingInt((Entry entry) -> entry.sent)
            .thenComparing(entry -> entry.update.daemonId()));
    return ordered;
  }

  private static int transmissions(int members) {
    return TRANSMISSIONS_PER_DIGIT * (int) Math.ceil(Math.log10(members + 1.0));
  }

  private static int sizeOf(MemberUpdate update) {
    return update.daemonId().length()
        + update.address().length()
        + update.zone().length()
        + FIXED_BYTES;
  }

  private static final class Entry {

    private final MemberUpdate update;
    private int sent;

    private Entry(MemberUpdate update) {
      this.update = update;
    }
  }
}
