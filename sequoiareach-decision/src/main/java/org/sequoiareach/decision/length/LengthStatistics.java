package org.sequoiareach.decision.length;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sequoiareach.model.Check;

/**
 * Learns the lengths of answers by organisation, model and kind of call.
 *
 * <p>A key with few observations leans on its parent: the kind of call on the organisation's use of
 * the model, that on the model, that on a fixed prior. The lean is a weighted blend for each bucket
 * of lengths, so that a key may know its short answers well and still take the tail from its
 * parent. The number of keys is bounded at each level. Not thread-safe: it belongs to the control
 * thread.
 */
public final class LengthStatistics {

  private static final double PRIOR_MEDIAN_TOKENS = 256;
  private static final double PRIOR_TAIL_EXPONENT = 1.2;

  private final LengthSettings settings;
  private final double[] priorHazards = priorHazards();
  private final Map<LengthKey, LengthEstimator> byCallClass;
  private final Map<LengthKey, LengthSketch> byOrganisation;
  private final Map<String, LengthSketch> byModel;

  /**
   * Creates statistics that have learnt nothing.
   *
   * @param settings the settings
   */
  public LengthStatistics(LengthSettings settings) {
    this.settings = Check.notNull(settings, "settings");
    byCallClass = new BoundedTable<>(settings.keyBound());
    byOrganisation = new BoundedTable<>(settings.keyBound());
    byModel = new BoundedTable<>(settings.keyBound());
  }

  /**
   * Obtains the estimator of a key. One held on to goes on working after its key was dropped.
   *
   * @param nowMs the time now
   * @param key the key
   * @return the estimator
   */
  public LengthEstimator estimator(long nowMs, LengthKey key) {
    LengthEstimator known = byCallClass.get(key);
    if (known != null) {
      return known;
    }
    LengthSketch model = byModel.computeIfAbsent(key.model(), name -> newSketch(nowMs));
    LengthKey parent = new LengthKey(key.organisation(), key.model(), "");
    LengthSketch organisation = byOrganisation.computeIfAbsent(parent, name -> newSketch(nowMs));
    LengthEstimator created =
        new LengthEstimator(
            newSketch(nowMs), organisation, model, priorHazards, settings.parentWeight());
    byCallClass.put(key, created);
    return created;
  }

  /**
   * Returns how many keys are kept at the level of kinds of call.
   *
   * @return the number of keys
   */
  public int size() {
    return byCallClass.size();
  }

  private LengthSketch newSketch(long nowMs) {
    return new LengthSketch(settings.halfLifeMs(), nowMs);
  }

  /** Returns the hazards of a log-logistic distribution: a median and a power-law tail. */
  private static double[] priorHazards() {
    double[] hazards = new double[LengthBuckets.COUNT];
    for (int i = 0; i < hazards.length; i++) {
      double before = priorReach(LengthBuckets.lower(i));
      hazards[i] = 1 - priorReach(LengthBuckets.lower(i + 1)) / before;
    }
    return hazards;
  }

  private static double priorReach(int tokens) {
    return 1 / (1 + Math.pow(tokens / PRIOR_MEDIAN_TOKENS, PRIOR_TAIL_EXPONENT));
  }

  private static final class BoundedTable<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int bound;

    BoundedTable(int bound) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.bound = bound;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
      return size() > bound;
    }
  }
}
