package org.sequoiareach.decision.budget;

import java.util.HashMap;
import java.util.Map;
import org.sequoiareach.model.Check;

/**
 * Weighted fair sharing of capacity between organisations.
 *
 * <p>Compares the recently served tokens of each organisation, which decay exponentially, with its
 * share by weight. Only the order of waiting requests is affected: an organisation that is alone or
 * within its share is never delayed. Not thread-safe; used by the control thread only.
 */
public final class FairShare {

  private static final long HALF_LIFE_MS = 60_000;
  private static final long DECAY_STEP_MS = 1_000;
  private static final double MIN_TOKENS = 1;
  private static final int MAX_STEPS = 4;

  private final Map<String, Double> served = new HashMap<>();
  private Map<String, Double> weights = Map.of();
  private long decayedMs;

  /**
   * Replaces the weights, such as the tokens planned for a day.
   *
   * @param byOrganisation the weights by organisation; the default is 1
   */
  public void setWeights(Map<String, Double> byOrganisation) {
    weights = Map.copyOf(byOrganisation);
  }

  /**
   * Records work started for an organisation.
   *
   * @param nowMs the current time in milliseconds
   * @param organisation the organisation
   * @param tokens the expected memory use in tokens
   */
  public void served(long nowMs, String organisation, double tokens) {
    decay(nowMs);
    served.merge(Check.hasText(organisation, "organisation"), tokens, Double::sum);
  }

  /**
   * Returns by how many priority steps an organisation's requests are put back: one for each
   * doubling of its recently served tokens beyond its share.
   *
   * @param nowMs the current time in milliseconds
   * @param organisation the organisation
   * @return the number of steps from 0 to {@value #MAX_STEPS}
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
    if (own < MIN_TOKENS) {
      return 0;
    }
    double share = tokens * weightOf(organisation) / weight;
    int doublings = (int) Math.ceil(Math.log(own / share) / Math.log(2) - 1e-9);
    return Math.max(0, Math.min(MAX_STEPS, doublings));
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
    served.values().removeIf(tokens -> tokens < MIN_TOKENS);
    decayedMs = nowMs;
  }
}
