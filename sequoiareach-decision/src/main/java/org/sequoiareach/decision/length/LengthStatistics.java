package org.sequoiareach.decision.length;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiareach.model.Check;

/**
 * Learns the length of answers per organisation, model and call class.
 *
 * <p>The statistics are hierarchical. A key with few observations falls back to its parent: the
 * call class to the use of the model by the organisation, that to the model, and the model to a
 * fixed prior. The estimates are blended per bucket of lengths, so that a key with sufficient
 * observations of short answers can still take the tail from its parent. The number of keys per
 * level is bounded.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class LengthStatistics {

  private static final double PRIOR_MEDIAN_TOKENS = 256;
  private static final double PRIOR_TAIL_EXPONENT = 1.2;

  private final LengthSettings settings;
  private final double[] priorHazards = priorHazards();
  private final Map<LengthKey, LengthEstimator> byCallClass;
  private final Map<LengthKey, DecayingLengthHistogram> byOrganisation;
  private final Map<String, DecayingLengthHistogram> byModel;

  /**
   * Creates statistics without observations.
   *
   * @param settings the settings
   */
  public LengthStatistics(LengthSettings settings) {
    this.settings = Check.notNull(settings, "settings");
    byCallClass = new LruMap<>(settings.keyBound());
    byOrganisation = new LruMap<>(settings.keyBound());
    byModel = new LruMap<>(settings.keyBound());
  }

  /**
   * Returns the estimator of a key and creates it if absent. An estimator remains usable after its
   * key was evicted.
   *
   * @param nowMs the current time
   * @param key the key
   * @return the estimator
   */
  public LengthEstimator estimator(long nowMs, LengthKey key) {
    LengthEstimator known = byCallClass.get(key);
    if (known != null) {
      return known;
    }
    DecayingLengthHistogram model =
        byModel.computeIfAbsent(key.model(), name -> newHistogram(nowMs));
    LengthKey parent = new LengthKey(key.organisation(), key.model(), "");
    DecayingLengthHistogram organisation =
        byOrganisation.computeIfAbsent(parent, name -> newHistogram(nowMs));
    LengthEstimator created =
        new LengthEstimator(
            newHistogram(nowMs), organisation, model, priorHazards, settings.parentWeight());
    byCallClass.put(key, created);
    return created;
  }

  /**
   * Returns the number of keys kept at the level of call classes.
   *
   * @return the number of keys
   */
  public int size() {
    return byCallClass.size();
  }

  private DecayingLengthHistogram newHistogram(long nowMs) {
    return new DecayingLengthHistogram(settings.halfLifeMs(), nowMs);
  }

  /** Returns the hazard rates of a log-logistic distribution, which has a power-law tail. */
  private static double[] priorHazards() {
    double[] hazards = new double[LengthBuckets.COUNT];
    for (int i = 0; i < hazards.length; i++) {
      double before = priorSurvival(LengthBuckets.lowerBound(i));
      hazards[i] = 1 - priorSurvival(LengthBuckets.lowerBound(i + 1)) / before;
    }
    return hazards;
  }

  private static double priorSurvival(int tokens) {
    return 1 / (1 + Math.pow(tokens / PRIOR_MEDIAN_TOKENS, PRIOR_TAIL_EXPONENT));
  }

  private static final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    LruMap(int capacity) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > capacity;
    }
  }
}
