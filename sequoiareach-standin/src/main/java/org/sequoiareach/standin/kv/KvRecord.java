package org.sequoiareach.standin.kv;

import java.util.Map;

/**
 * Says what the key-value stand-in saw.
 *
 * @param revision the revision now
 * @param keys the number of keys now
 * @param leases the number of leases now
 * @param openWatches the watches open now
 * @param calls the calls that took effect, by kind
 * @param refused the calls refused because of a rate limit
 * @param lostAnswers the writes that took effect and whose answer a fault lost
 */
public record KvRecord(
    long revision,
    int keys,
    int leases,
    int openWatches,
    Map<String, Long> calls,
    long refused,
    long lostAnswers) {

  /** Copies the parts. */
  public KvRecord {
    calls = Map.copyOf(calls);
  }
}
