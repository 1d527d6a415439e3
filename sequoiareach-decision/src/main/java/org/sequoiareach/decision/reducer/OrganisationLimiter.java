package org.sequoiareach.decision.reducer;

import java.util.HashMap;
import java.util.Map;
import org.sequoiareach.model.sheet.LimitsEntry;

/**
 * Holds each organisation to this daemon's share of its limits.
 *
 * <p>The limits of the sheet bind all daemons together. Each daemon enforces its share, the limit
 * divided by the live daemons and rounded up, so that no messages are needed.
 */
final class OrganisationLimiter {

  private static final long SECOND_MS = 1_000;

  private final Map<String, Usage> usages = new HashMap<>();

  /** Returns why a request may not start now, or an empty text after counting it in. */
  String admit(long nowMs, String organisation, LimitsEntry limits, int daemons) {
    Usage usage = usages.computeIfAbsent(organisation, id -> new Usage());
    int concurrent = share(limits.concurrentRequests(), daemons);
    if (usage.inProgress >= concurrent) {
      return "the organisation has " + usage.inProgress + " requests in progress here";
    }
    int rate = share(limits.requestsPerSecond(), daemons);
    usage.refill(nowMs, rate);
    if (usage.tokens < 1) {
      return "the organisation starts more than " + rate + " requests a second here";
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

  /** Holds what one organisation uses here. */
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
