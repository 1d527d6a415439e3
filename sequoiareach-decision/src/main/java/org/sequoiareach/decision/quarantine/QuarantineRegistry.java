package org.sequoiareach.decision.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;

/**
 * Registry of the quarantines that any daemon has decided on.
 *
 * <p>While requests with its traits arrive, one of them is sent now and then to find out whether it
 * still crashes its target; without such requests the quarantine lapses. Not thread-safe: confined
 * to the control thread.
 */
public final class QuarantineRegistry {

  /** The time without matching requests after which a quarantine lapses. */
  static final long LAPSE_MS = 300_000;

  /** How long a lifted quarantine is remembered, so that outdated messages do not restore it. */
  static final long LIFTED_RETENTION_MS = 60_000;

  /** The time until the first trial. It doubles with each trial, as each may cost a target. */
  static final long FIRST_TRIAL_MS = 60_000;

  static final long MAX_TRIAL_INTERVAL_MS = 3_600_000;

  static final int MAX_QUARANTINES = 64;

  private final Map<RequestTraits, Quarantine> quarantines = new LinkedHashMap<>();

  /**
   * Proposes a quarantine, or widens one of the same traits that was lifted before.
   *
   * @param nowMs the current time
   * @param suspicion the evidence
   * @return the quarantine
   */
  public Quarantine propose(long nowMs, Suspicion suspicion) {
    Quarantine proposed =
        new Quarantine(
            suspicion.traits(),
            suspicion.crashes(),
            suspicion.sinceMs(),
            nowMs,
            nowMs,
            nowMs + FIRST_TRIAL_MS,
            0,
            OptionalLong.empty());
    put(proposed);
    return proposed;
  }

  /**
   * Merges what another daemon knows of a quarantine.
   *
   * @param nowMs the current time
   * @param told the quarantine, with its times converted to the local clock
   * @return the merged quarantine if it is new, was lifted or has had another trial; empty
   *     otherwise
   */
  public Optional<Quarantine> merge(long nowMs, Quarantine told) {
    if (isOutdated(nowMs, told)) {
      return Optional.empty();
    }
    Quarantine known = quarantines.get(told.traits());
    if (known == null) {
      put(told);
      return Optional.of(told);
    }
    Quarantine merged = known.mergedWith(told);
    put(merged);
    boolean changed =
        merged.isLifted() != known.isLifted()
            || merged.trials() != known.trials()
            || merged.proposedAtMs() > known.proposedAtMs();
    return changed ? Optional.of(merged) : Optional.empty();
  }

  /**
   * Finds the quarantine that applies to a request.
   *
   * @param nowMs the current time
   * @param traits the traits of the request
   * @return the quarantine; empty if the request may be sent
   */
  public Optional<Quarantine> findInForce(long nowMs, RequestTraits traits) {
    return active()
        .filter(one -> one.isInForce(nowMs))
        .filter(one -> traits.containsAll(one.traits()))
        .findFirst();
  }

  /**
   * Records that a request matched a quarantine.
   *
   * @param nowMs the current time
   * @param quarantine the quarantine
   */
  public void recordMatch(long nowMs, Quarantine quarantine) {
    put(quarantine.matchedAt(nowMs));
  }

  /**
   * Records that a request is sent although a quarantine applies to it.
   *
   * @param nowMs the current time
   * @param quarantine the quarantine
   * @return the quarantine with the time of its next trial
   */
  public Quarantine startTrial(long nowMs, Quarantine quarantine) {
    long intervalMs = FIRST_TRIAL_MS << Math.min(quarantine.trials() + 1, 10);
    Quarantine tried =
        quarantine.matchedAt(nowMs).triedUntil(nowMs + Math.min(intervalMs, MAX_TRIAL_INTERVAL_MS));
    put(tried);
    return tried;
  }

  /**
   * Lifts a quarantine.
   *
   * @param nowMs the current time
   * @param quarantine the quarantine
   * @return the lifted quarantine
   */
  public Quarantine lift(long nowMs, Quarantine quarantine) {
    Quarantine lifted = quarantine.lifted(nowMs);
    put(lifted);
    return lifted;
  }

  /**
   * Removes the quarantines that have lapsed and those that were lifted long ago.
   *
   * @param nowMs the current time
   * @return the lapsed ones
   */
  public List<Quarantine> expire(long nowMs) {
    List<Quarantine> outdated =
        quarantines.values().stream().filter(one -> isOutdated(nowMs, one)).toList();
    quarantines.values().removeAll(outdated);
    return outdated.stream().filter(one -> !one.isLifted()).toList();
  }

  /**
   * Returns the quarantines that were not lifted, including proposed ones.
   *
   * @return the quarantines
   */
  public Stream<Quarantine> active() {
    return quarantines.values().stream().filter(one -> !one.isLifted());
  }

  /**
   * Returns all quarantines, including those that were lifted recently.
   *
   * @return the quarantines
   */
  public List<Quarantine> all() {
    return new ArrayList<>(quarantines.values());
  }

  /** Returns when the quarantine of certain traits was lifted; empty if it was not, or long ago. */
  OptionalLong findLift(RequestTraits traits) {
    Quarantine known = quarantines.get(traits);
    return known == null ? OptionalLong.empty() : known.liftedAtMs();
  }

  private void put(Quarantine quarantine) {
    quarantines.put(quarantine.traits(), quarantine);
    if (quarantines.size() > MAX_QUARANTINES) {
      quarantines.values().stream()
          .min(Comparator.comparingLong(Quarantine::matchedAtMs))
          .map(Quarantine::traits)
          .ifPresent(quarantines::remove);
    }
  }

  private static boolean isOutdated(long nowMs, Quarantine one) {
    return one.isLifted()
        ? nowMs - one.liftedAtMs().getAsLong() > LIFTED_RETENTION_MS
        : nowMs - one.matchedAtMs() > LAPSE_MS;
  }
}
