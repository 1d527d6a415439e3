package org.sequoiareach.decision.length;

/**
 * Learns and predicts the length of the answers of one {@link LengthKey}.
 *
 * <p>The observer of an answer reports its progress with {@link #recordSurvival} and its natural
 * end, at most once, with {@link #recordCompletion}. Each call passes the length that was already
 * recorded for the answer. A cancelled answer is recorded by its progress only, as a censored
 * observation.
 */
public final class LengthEstimator {

  private static final long REBUILD_PERIOD_MS = 250;

  private final DecayingLengthHistogram callClass;
  private final DecayingLengthHistogram organisation;
  private final DecayingLengthHistogram model;
  private final double[] priorHazards;
  private final double parentWeight;
  private LengthDistribution distribution;
  private long builtMs;
  private long builtAtChangeCount;

  LengthEstimator(
      DecayingLengthHistogram callClass,
      DecayingLengthHistogram organisation,
      DecayingLengthHistogram model,
      double[] priorHazards,
      double parentWeight) {
    this.callClass = callClass;
    this.organisation = organisation;
    this.model = model;
    this.priorHazards = priorHazards;
    this.parentWeight = parentWeight;
  }

  /**
   * Records that an answer is still running at a length, or was cancelled at it.
   *
   * @param nowMs the current time
   * @param recordedTokens the length recorded so far; 0 on the first call
   * @param tokens the current length
   */
  public void recordSurvival(long nowMs, int recordedTokens, int tokens) {
    int from = LengthBuckets.indexOf(recordedTokens);
    int to = LengthBuckets.indexOf(tokens);
    if (from >= to) {
      return;
    }
    callClass.addSurvival(nowMs, from, to);
    organisation.addSurvival(nowMs, from, to);
    model.addSurvival(nowMs, from, to);
  }

  /**
   * Records the natural end of an answer.
   *
   * @param nowMs the current time
   * @param recordedTokens the length recorded so far; 0 if none
   * @param tokens the total length
   */
  public void recordCompletion(long nowMs, int recordedTokens, int tokens) {
    recordSurvival(nowMs, recordedTokens, tokens);
    int bucket = LengthBuckets.indexOf(Math.max(recordedTokens, tokens));
    callClass.addCompletion(nowMs, bucket);
    organisation.addCompletion(nowMs, bucket);
    model.addCompletion(nowMs, bucket);
  }

  /**
   * Returns the predicted distribution, which is rebuilt at most every {@value #REBUILD_PERIOD_MS}
   * ms.
   *
   * @param nowMs the current time
   * @return the distribution
   */
  public LengthDistribution distribution(long nowMs) {
    long changes = callClass.changes() + organisation.changes() + model.changes();
    boolean upToDate = changes == builtAtChangeCount || nowMs - builtMs < REBUILD_PERIOD_MS;
    if (distribution == null || !upToDate) {
      distribution = build(nowMs);
      builtMs = nowMs;
      builtAtChangeCount = changes;
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
