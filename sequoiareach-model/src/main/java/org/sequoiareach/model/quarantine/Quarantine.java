package org.sequoiareach.model.quarantine;

import java.util.OptionalLong;
import org.sequoiareach.model.Check;

/**
 * The decision not to send requests with certain traits, because they crashed several targets.
 *
 * <p>It applies {@value #OBJECTION_MS} ms after it was proposed, so that daemons which know better
 * can lift it before. Immutable; all times are in milliseconds of the local monotonic clock.
 *
 * @param traits the traits that a request must have, all of them, to be refused
 * @param crashes the number of crashes that led to it
 * @param evidenceSinceMs when the first of these crashes happened
 * @param proposedAtMs when it was proposed
 * @param matchedAtMs when a request with the traits last arrived at any daemon
 * @param trialAtMs when the next request may be sent to find out whether it still crashes a target
 * @param trials the number of requests sent for that purpose
 * @param liftedAtMs when a request with the traits was found to be harmless; empty if none was
 */
public record Quarantine(
    RequestTraits traits,
    int crashes,
    long evidenceSinceMs,
    long proposedAtMs,
    long matchedAtMs,
    long trialAtMs,
    int trials,
    OptionalLong liftedAtMs) {

  /** Long enough for a message to each daemon and its answer. */
  public static final long OBJECTION_MS = 250;

  /** Validates the components. */
  public Quarantine {
    Check.notNull(traits, "traits");
    Check.isTrue(traits.isSpecific(), "'traits' must identify more than a caller.");
    Check.inRange(crashes, 1, Integer.MAX_VALUE, "crashes");
    Check.inRange(trials, 0, Integer.MAX_VALUE, "trials");
    Check.notNull(liftedAtMs, "liftedAtMs");
  }

  /**
   * Returns whether matching requests are refused.
   *
   * @param nowMs the current time
   * @return false before the time for objections has passed, or after it was lifted
   */
  public boolean isInForce(long nowMs) {
    return !isLifted() && nowMs >= proposedAtMs + OBJECTION_MS;
  }

  /**
   * Returns whether it was lifted.
   *
   * @return true if requests with the traits are harmless
   */
  public boolean isLifted() {
    return liftedAtMs.isPresent();
  }

  /**
   * Copies this quarantine with the time of another matching request.
   *
   * @param nowMs when the request arrived
   * @return the copy
   */
  public Quarantine matchedAt(long nowMs) {
    return new Quarantine(
        traits,
        crashes,
        evidenceSinceMs,
        proposedAtMs,
        Math.max(matchedAtMs, nowMs),
        trialAtMs,
        trials,
        liftedAtMs);
  }

  /**
   * Copies this quarantine with one more trial.
   *
   * @param nextMs when the trial after it may take place
   * @return the copy
   */
  public Quarantine triedUntil(long nextMs) {
    return new Quarantine(
        traits,
        crashes,
        evidenceSinceMs,
        proposedAtMs,
        matchedAtMs,
        nextMs,
        trials + 1,
        liftedAtMs);
  }

  /**
   * Copies this quarantine as lifted.
   *
   * @param nowMs when it was lifted
   * @return the copy
   */
  public Quarantine lifted(long nowMs) {
    return new Quarantine(
        traits,
        crashes,
        evidenceSinceMs,
        proposedAtMs,
        matchedAtMs,
        trialAtMs,
        trials,
        OptionalLong.of(nowMs));
  }

  /**
   * Combines what two daemons know of the same quarantine. The order does not matter.
   *
   * @param other what the other daemon knows
   * @return the combined knowledge
   */
  public Quarantine mergedWith(Quarantine other) {
    Check.isTrue(traits.equals(other.traits), "Quarantines of different traits can't be merged.");
    if (isLifted() != other.isLifted()) {
      Quarantine lifted = isLifted() ? this : other;
      Quarantine active = isLifted() ? other : this;
      return active.proposedAtMs > lifted.liftedAtMs.getAsLong() ? active : lifted;
    }
    Quarantine moreTried = other.trials > trials ? other : this;
    long trialMs =
        other.trials == trials ? Math.min(trialAtMs, other.trialAtMs) : moreTried.trialAtMs;
    return new Quarantine(
        traits,
        Math.max(crashes, other.crashes),
        Math.min(evidenceSinceMs, other.evidenceSinceMs),
        Math.min(proposedAtMs, other.proposedAtMs),
        Math.max(matchedAtMs, other.matchedAtMs),
        trialMs,
        moreTried.trials,
        isLifted() && liftedAtMs.getAsLong() < other.liftedAtMs.getAsLong()
            ? other.liftedAtMs
            : liftedAtMs);
  }
}
