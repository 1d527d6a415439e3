package org.sequoiareach.decision.length;

/**
 * Learns and predicts the lengths of the answers of one key.
 *
 * <p>Whoever follows an answer tells of its progress by {@link #outlived} and at most once of its
 * end by {@link #ended}, passing each time the length up to which it has told already. An answer
 * that was cancelled is told of by its progress only.
 */
public final class LengthEstimator {

  private static final long REBUILD_PERIOD_MS = 250;

  private final LengthSketch callClass;
  private final LengthSketch organisation;
  private final LengthSketch model;
  private final double[] priorHazards;
  private final double parentWeight;
  private LengthDistribution distribution;
  private long builtMs;
  private long builtFromChanges;

  LengthEstimator(
      LengthSketch callClass,
      LengthSketch organisation,
      LengthSketch model,
      double[] priorHazards,
      double parentWeight) {
    this.callClass = callClass;
    this.organisation = organisation;
    this.model = model;
    this.priorHazards = priorHazards;
    this.parentWeight = parentWeight;
  }

  /**
   * Records that an answer has grown and still runs, or was cancelled at this length.
   *
   * @param nowMs the time now
   * @param toldTokens the length told of before, 0 at first
   * @param tokens the length now
   */
  public void outlived(long nowMs, int toldTokens, int tokens) {
    int from = LengthBuckets.indexOf(toldTokens);
    int to = LengthBuckets.indexOf(tokens);
    if (from >= to) {
      return;
    }
    callClass.addOutlived(nowMs, from, to);
    organisation.addOutlived(nowMs, from, to);
    model.addOutlived(nowMs, from, to);
  }

  /**
   * Records that an answer has come to its natural end.
   *
   * @param nowMs the time now
   * @param toldTokens the length told of before, 0 if none was
   * @param tokens its whole length
   */
  public void ended(long nowMs, int toldTokens, int tokens) {
    outlived(nowMs, toldTokens, tokens);
    int bucket = LengthBuckets.indexOf(Math.max(toldTokens, tokens));
    callClass.addEnded(nowMs, bucket);
    organisation.addEnded(nowMs, bucket);
    model.addEnded(nowMs, bucket);
  }

  /**
   * Predicts lengths. The prediction is rebuilt at most every {@value #REBUILD_PERIOD_MS} ms.
   *
   * @param nowMs the time now
   * @return the distribution
   */
  public LengthDistribution distribution(long nowMs) {
    long changes = callClass.changes() + organisation.changes() + model.changes();
    boolean current = changes == builtFromChanges || nowMs - builtMs < REBUILD_PERIOD_MS;
    if (distribution == null || !current) {
      distribution = build(nowMs);
      builtMs = nowMs;
      builtFromChanges = changes;
    }
    return distribution;
  }

  private LengthDistribution build(long nowMs) {
    double[] hazards = priorHazards.clone();
    model.blendInto(nowMs, hazards, parentWeight);
    organisation.blendInto(nowMs, hazards, parentWeight);
    callClass.blendInto(nowMs, hazards, parentWeight);
    return new LengthDistribution(hazards);
  }
}
