package org.sequoiareach.decision.reducer;

import java.util.HashMap;
import java.util.Map;
import org.sequoiareach.model.sheet.LimitsEntry;

/**
 * Enforces this daemon's share of each organisation's concurrency and rate limits.
 *
 * <p>The limits of the sheet apply to all daemons together. Each daemon enforces the limit divided
 * by the number of live daemons, rounded up, so that the daemons need not coordinate. The rate
 * limit is a token bucket that holds one second's worth of requests.
 */
final class OrganisationLimiter {

  private static final long SECOND_MS = 1_000;

  private final Map<String, Usage> usages = new HashMap<>();

  /** Admits a request and returns an empty string, or returns the limit that it would exceed. */
  String admit(long nowMs, String organisation, LimitsEntry limits, int daemons) {
    Usage usage = usages.computeIfAbsent(organisation, id -> new Usage());
    int concurrent = share(limits.concurrentRequests(), daemons);
    if (usage.inProgress >= concurrent) {
      return "organisation %s has %d requests in progress on this daemon, limit %d"
          .formatted(organisation, usage.inProgress, concurrent);
    }
    int rate = share(limits.requestsPerSecond(), daemons);
    usage.refill(nowMs, rate);
    if (usage.tokens < 1) {
      return "organisation %s exceeds %d requests per second on this daemon"
          .formatted(organisation, rate);
    }
    usage.tokens -= 1;
    usage.inProgress += 1;
    return "";
  }

  void release(String organisation) {
    Usage usage = usages.get(organisation);
    if (usage != null) {
      usage.inProgress -= 1;
    }
  }

  private static int share(int limit, int daemons) {
    return Math.max(1, (limit + daemons - 1) / daemons);
  }

  /** Usage of one organisation on this daemon. */
  private static final class Usage {

    private int inProgress;
    private double tokens = -1;
    private long refilledMs;

    private void refill(long nowMs, int ratePerSecond) {
      if (tokens < 0) {
        tokens = ratePerSecond;
        refilledMs = nowMs;
        return;
      }
      double earned = (double) (nowMs - refilledMs) * ratePerSecond / SECOND_MS;
      tokens = Math.min(ratePerSecond, tokens + earned);
      refilledMs = nowMs;
    }
  }
}
