package org.sequoiareach.peer;

import java.util.List;
import java.util.OptionalLong;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.quarantine.RequestTraits;

/**
 * Message by which daemons agree on requests that crash the targets that run them.
 *
 * <p>Times are sent as durations, because the clocks of daemons differ.
 */
public interface QuarantineMessage extends PeerMessage {

  /**
   * What a daemon knows of the crash of a target.
   *
   * @param targetId the identity of the target
   * @param incarnation the incarnation that crashed
   * @param service the service of the target
   * @param daemonId the daemon whose requests the target was about to answer
   * @param ageMs the time since the crash, in milliseconds
   * @param runs the digests of the traits of each of these requests
   */
  record KnownCrash(
      String targetId,
      long incarnation,
      String service,
      String daemonId,
      long ageMs,
      List<List<String>> runs) {

    /** Validates the components and copies the lists. */
    public KnownCrash {
      Check.hasText(targetId, "targetId");
      Check.hasText(service, "service");
      Check.hasText(daemonId, "daemonId");
      Check.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
      runs = runs.stream().map(run -> new RequestTraits(run).digests()).toList();
    }
  }

  /**
   * What a daemon knows of a quarantine.
   *
   * @param traits the digests of the traits that a request must have to be refused
   * @param crashes the number of crashes that led to it
   * @param evidenceAgeMs the time since the first of these crashes, in milliseconds
   * @param ageMs the time since it was proposed, in milliseconds
   * @param matchAgeMs the time since a matching request last arrived, in milliseconds
   * @param trialInMs the time until the next trial, in milliseconds; negative if that is overdue
   * @param trials the number of trials
   * @param liftAgeMs the time since it was lifted, in milliseconds; empty if it was not
   */
  record KnownQuarantine(
      List<String> traits,
      int crashes,
      long evidenceAgeMs,
      long ageMs,
      long matchAgeMs,
      long trialInMs,
      int trials,
      OptionalLong liftAgeMs) {

    /** Validates the components and copies the list. */
    public KnownQuarantine {
      traits = List.copyOf(traits);
      Check.isTrue(
          new RequestTraits(traits).isSpecific(), "'traits' must identify more than a caller.");
      Check.inRange(crashes, 1, Integer.MAX_VALUE, "crashes");
      Check.inRange(evidenceAgeMs, 0, Long.MAX_VALUE, "evidenceAgeMs");
      Check.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
      Check.inRange(matchAgeMs, 0, Long.MAX_VALUE, "matchAgeMs");
      Check.inRange(trials, 0, Integer.MAX_VALUE, "trials");
      Check.notNull(liftAgeMs, "liftAgeMs");
    }
  }

  /**
   * Informs the receiver of crashes.
   *
   * @param crashes the crashes
   */
  record CrashAnnouncement(List<KnownCrash> crashes) implements QuarantineMessage {

    /** Copies the list. */
    public CrashAnnouncement {
      crashes = List.copyOf(crashes);
    }
  }

  /**
   * Informs the receiver of quarantines, including those that were lifted recently.
   *
   * @param quarantines the quarantines
   */
  record QuarantineAnnouncement(List<KnownQuarantine> quarantines) implements QuarantineMessage {

    /** Copies the list. */
    public QuarantineAnnouncement {
      quarantines = List.copyOf(quarantines);
    }
  }
}
