package org.sequoiareach.decision.speed;

import org.sequoiareach.model.route.EngineSpeed;

/** Decaying sums of the observations of one incarnation of an engine. Not thread-safe. */
final class SpeedObservations {

  /** Observations lose half of their weight in this time. */
  private static final double HALF_LIFE_MS = 4_000;

  /**
   * Sums are rounded to this fraction. A power of two keeps them short when relays add them up,
   * where the digits of a decayed sum would be most of a message.
   */
  private static final double STEPS_PER_UNIT = 32;

  private final long incarnation;
  private double decodeWeight;
  private double decodeRatio;
  private double prefillWeight;
  private double prefillRatio;
  private long decayedAtMs;

  SpeedObservations(long nowMs, long incarnation) {
    this.decayedAtMs = nowMs;
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  void addDecode(long nowMs, double weight, double ratio) {
    decay(nowMs);
    decodeWeight += weight;
    decodeRatio += weight * SpeedBounds.boundRatio(ratio);
  }

  void addPrefill(long nowMs, double weight, double ratio) {
    decay(nowMs);
    prefillWeight += weight;
    prefillRatio += weight * SpeedBounds.boundRatio(ratio);
  }

  EngineSpeed sum(long nowMs) {
    decay(nowMs);
    return new EngineSpeed(
        incarnation,
        round(decodeWeight),
        round(decodeRatio),
        round(prefillWeight),
        round(prefillRatio));
  }

  private static double round(double value) {
    return Math.rint(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
  }

  private void decay(long nowMs) {
    if (nowMs <= decayedAtMs) {
      return;
    }
    double factor = Math.pow(0.5, (nowMs - decayedAtMs) / HALF_LIFE_MS);
    decodeWeight *= factor;
    decodeRatio *= factor;
    prefillWeight *= factor;
    prefillRatio *= factor;
    decayedAtMs = nowMs;
  }
}
