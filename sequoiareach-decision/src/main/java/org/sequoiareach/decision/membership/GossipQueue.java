package org.sequoiareach.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiareach.model.platform.MemberUpdate;

/**
 * Selects the membership updates to piggyback on a message.
 *
 * <p>The least transmitted updates go first, up to a size limit per message. An update is dropped
 * once it was transmitted a number of times that grows with the logarithm of the member count. Not
 * thread-safe.
 */
final class GossipQueue {

  private static final int MAX_UPDATE_BYTES = 512;

  /** Transmissions of an update per decimal digit of the member count. */
  private static final int RETRANSMIT_MULTIPLIER = 4;

  /** Size of the fields of an update other than its strings. */
  private static final int FIXED_FIELD_BYTES = 14;

  private final Map<String, Entry> entries = new HashMap<>();

  /**
   * Adds an update and discards any queued update about the same daemon.
   *
   * @param update the update to disseminate
   */
  void add(MemberUpdate update) {
    entries.put(update.daemonId(), new Entry(update));
  }

  /**
   * Selects the updates for one message and counts them as transmitted.
   *
   * @param memberCount the number of members, which determines the transmit limit
   * @param required updates to include regardless of the size limit, ahead of queued ones
   * @return the required updates followed by the selected ones
   */
  List<MemberUpdate> select(int memberCount, List<MemberUpdate> required) {
    List<MemberUpdate> selected = new ArrayList<>(required);
    if (entries.isEmpty()) {
      return selected;
    }
    int remainingBytes = MAX_UPDATE_BYTES - required.stream().mapToInt(GossipQueue::sizeOf).sum();
    int limit = transmitLimit(memberCount);
    for (Entry entry : byTransmissions()) {
      int size = sizeOf(entry.update);
      if (size > remainingBytes) {
        break;
      }
      remainingBytes -= size;
      selected.add(entry.update);
      entry.transmissions++;
      if (entry.transmissions >= limit) {
        entries.remove(entry.update.daemonId());
      }
    }
    return selected;
  }

  private List<Entry> byTransmissions() {
    List<Entry> ordered = new ArrayList<>(entries.values());
    ordered.sort(
        Comparator.comparingInt((Entry entry) -> entry.transmissions)
            .thenComparing(entry -> entry.update.daemonId()));
    return ordered;
  }

  private static int transmitLimit(int memberCount) {
    return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(memberCount + 1.0));
  }

  private static int sizeOf(MemberUpdate update) {
    return update.daemonId().length()
        + update.address().length()
        + update.zone().length()
        + FIXED_FIELD_BYTES;
  }

  private static final class Entry {

    private final MemberUpdate update;
    private int transmissions;

    private Entry(MemberUpdate update) {
      this.update = update;
    }
  }
}
