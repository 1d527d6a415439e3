package org.sequoiareach.daemon.control;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.sequoiareach.decision.effect.Effect;

/**
 * Logs each decision as one structured line, counts decisions, and keeps the latest ones so that
 * operators can look up why a request was routed to its target. Thread-safe.
 */
public final class DecisionLog implements EffectHandler {

  private static final int MAX_KEPT_DECISIONS = 5_000;
  private static final Logger LOGGER = LogManager.getLogger("decisions");

  private final MetricRegistry metrics;
  private final Deque<Effect.LogDecision> latest = new ArrayDeque<>();

  /**
   * Creates a log.
   *
   * @param metrics the registry for the decision counters
   */
  public DecisionLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  @Override
  public void handle(Effect effect) {
    if (!(effect instanceof Effect.LogDecision decision)) {
      return;
    }
    metrics.meter("decision." + decision.decision()).mark();
    keep(decision);
    LOGGER.info(
        new StringMapMessage()
            .with("decision", decision.decision())
            .with("request", decision.requestId())
            .with("organisation", decision.organisation())
            .with("target", decision.targetId())
            .with("sheet", decision.sheetVersion())
            .with("reason", decision.reason())
            .with("losers", String.join(" ", decision.losers())));
  }

  /**
   * Returns the kept decisions about a request.
   *
   * @param requestId the request
   * @return the decisions, oldest first; empty if none is kept
   */
  public synchronized List<Effect.LogDecision> findByRequest(String requestId) {
    return latest.stream().filter(decision -> decision.requestId().equals(requestId)).toList();
  }

  private synchronized void keep(Effect.LogDecision decision) {
    if (decision.requestId().isEmpty()) {
      return;
    }
    if (latest.size() == MAX_KEPT_DECISIONS) {
      latest.removeFirst();
    }
    latest.addLast(decision);
  }
}
