package org.sequoiareach.standin.kv;

import java.util.Map;

/**
 * Records the state and the requests of the simulated key-value service.
 *
 * @param revision the current revision
 * @param keys the current number of keys
 * @param leases the current number of leases
 * @param openWatches the current number of open watches
 * @param calls the number of requests that took effect, by kind
 * @param refused the number of requests rejected by a rate limit
 * @param lostAnswers the number of writes that took effect but whose response a fault suppressed
 */
public record KvRecord(
    long revision,
    int keys,
    int leases,
    int openWatches,
    Map<String, Long> calls,
    long refused,
    long lostAnswers) {

  /** Copies the map. */
  public KvRecord {
    calls = Map.copyOf(calls);
  }
}
