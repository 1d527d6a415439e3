package org.sequoiareach.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Limits what a daemon takes of room that others of equal urgency wait for, too. Not thread-safe.
 *
 * <p>A share is granted once in each round, because the room that daemons see stays the same until
 * they have told each other what they took. A share below one call is drawn at random: the daemons
 * together then take about the room that there is.
 */
final class ShareQuota {

  /** The shortest interval in which daemons tell each other their use. */
  static final long ROUND_MS = 100;

  private record Key(String service, int priority) {}

  private record Round(long endMs, long left) {}

  private final Map<Key, Round> rounds = new HashMap<>();
  private final DoubleSupplier random;

  ShareQuota(DoubleSupplier random) {
    this.random = random;
  }

  /** Takes a part of this daemon's share of one round, if any is left. */
  boolean tryTake(long nowMs, WaitingCall call, double share) {
    Key key = new Key(call.service(), call.priority());
    Round round = rounds.get(key);
    if (round == null || nowMs >= round.endMs) {
      long whole = (long) Math.floor(share);
      long drawn = random.getAsDouble() < share - whole ? 1 : 0;
      round = new Round(nowMs + ROUND_MS, whole + drawn);
    }
    boolean granted = round.left > 0;
    rounds.put(key, granted ? new Round(round.endMs, round.left - 1) : round);
    return granted;
  }
}
