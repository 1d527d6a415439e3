package org.sequoiareach.decision.budget;

import java.util.HashMap;
import java.util.Map;
import org.sequoiareach.model.Check;

/**
 * Compares what each organisation has been served of late with its share by weight.
 *
 * <p>It orders only those who wait: an organisation alone, or within its share, is never held back.
 * Not thread-safe: it belongs to the control thread.
 */
public final class FairShare {

  private static final long HALF_LIFE_MS = 60_000;
  private static final long DECAY_STEP_MS = 1_000;
  private static final double LEAST_TOKENS = 1;
  private static final int MOST_STEPS = 4;

  private final Map<String, Double> served = new HashMap<>();
  private Map<String, Double> weights = Map.of();
  private long decayedMs;

  /**
   * Puts weights in force, such as the tokens planned for a day.
   *
   * @param byOrganisation the weights; an organisation without one has the weight 1
   */
  public void setWeights(Map<String, Double> byOrganisation) {
    weights = Map.copyOf(byOrganisation);
  }

  /**
   * Records work that was started for an organisation.
   *
   * @param nowMs the time now
   * @param organisation the organisation
   * @param tokens the tokens of memory expected to be used
   */
  public void served(long nowMs, String organisation, double tokens) {
    decay(nowMs);
    served.merge(Check.hasText(organisation, "organisation"), tokens, Double::sum);
  }

  /**
   * Returns by how many steps of priority an organisation waits longer: one for each doubling of
   * what it was served over its share among those served of late.
   *
   * @param nowMs the time now
   * @param organisation the organisation
   * @return steps from 0 to {@value #MOST_STEPS}
   */
  public int stepsBehind(long nowMs, String organisation) {
    decay(nowMs);
    double own = served.getOrDefault(organisation, 0.0);
    double tokens = 0;
    double weight = 0;
    for (Map.Entry<String, Double> entry : served.entrySet()) {
      tokens += entry.getValue();
      weight += weightOf(entry.getKey());
    }
    if (own < LEAST_TOKENS) {
      return 0;
    }
    double share = tokens * weightOf(organisation) / weight;
    int doublings = (int) Math.ceil(Math.log(own / share) / Math.log(2) - 1e-9);
    return Math.max(0, Math.min(MOST_STEPS, doublings));
  }

  private double weightOf(String organisation) {
    return Math.max(Double.MIN_NORMAL, weights.getOrDefault(organisation, 1.0));
  }

  private void decay(long nowMs) {
    if (nowMs - decayedMs < DECAY_STEP_MS) {
      return;
    }
    double factor = Math.pow(0.5, (double) (nowMs - decayedMs) / HALF_LIFE_MS);
    served.replaceAll((organisation, tokens) -> tokens * factor);
    served.values().removeIf(tokens -> tokens < LEAST_TOKENS);
    decayedMs = nowMs;
  }
}
