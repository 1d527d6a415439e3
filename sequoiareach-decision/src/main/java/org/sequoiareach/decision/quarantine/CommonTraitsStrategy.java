package org.sequoiareach.decision.quarantine;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;

/**
 * Suspects requests with the traits that were present at several crashes and that no request which
 * was answered had.
 *
 * <p>Answers the load of requests that crash each target that begins to answer them, among sound
 * requests that share their caller and most of their prompt. Targets that crash for reasons of
 * their own are about to answer a sample of all requests, and other requests with the same traits
 * are answered meanwhile. Traits that always come together are suspected together.
 */
public final class CommonTraitsStrategy implements SuspicionStrategy {

  /** The crashes that are needed; two targets may crash by chance under similar requests. */
  static final int MIN_CRASHES = 3;

  /** The crashes after which a quarantine that did not prevent them is widened. */
  static final int MIN_CRASHES_TO_WIDEN = 2;

  /**
   * The other requests that must have been answered meanwhile. Without them, all targets may be
   * failing, whatever they run.
   */
  static final int MIN_OTHER_SOUND_RUNS = 3;

  /** The latest crashes that are compared with each other, and the runs of each. */
  private static final int MAX_COMPARED_CRASHES = 16;

  private static final int MAX_COMPARED_RUNS = 6;

  /** The share of the runs that must have crashed their target: four in five. */
  private static final int CRASHES_PER_SOUND_RUN = 4;

  @Override
  public Optional<Suspicion> findCulprit(Evidence evidence) {
    List<Crash> unexplained =
        evidence.crashes().all().filter(crash -> !isExplained(crash, evidence)).toList();
    return findCommonTraits(unexplained, evidence).stream()
        .flatMap(traits -> assess(traits, unexplained, evidence).stream())
        .max(
            Comparator.comparingInt(Suspicion::crashes)
                .thenComparingInt(found -> found.traits().digests().size()));
  }

  @Override
  public boolean isSuspect(RequestTraits traits, String targetId, Evidence evidence) {
    return evidence
        .crashes()
        .all()
        .filter(crash -> !crash.targetId().equals(targetId))
        .anyMatch(crash -> mayHaveCaused(crash, traits, evidence));
  }

  private static boolean mayHaveCaused(Crash crash, RequestTraits traits, Evidence evidence) {
    return crash.runs().stream()
        .map(traits::intersect)
        .filter(RequestTraits::isSpecific)
        .anyMatch(common -> evidence.soundRuns().countWith(common, crash.atMs()) == 0);
  }

  @Override
  public boolean isRefuted(Quarantine quarantine, Evidence evidence) {
    long sound = evidence.soundRuns().countWith(quarantine.traits(), quarantine.evidenceSinceMs());
    return isRefuted(quarantine.crashes(), sound);
  }

  private static boolean isRefuted(int crashes, long soundRuns) {
    return soundRuns > 0 && CRASHES_PER_SOUND_RUN * soundRuns >= crashes;
  }

  private static boolean isExplained(Crash crash, Evidence evidence) {
    return evidence.quarantines().active().anyMatch(one -> crash.involves(one.traits()));
  }

  /** Returns what runs at two crashes, or a run at a crash and a quarantine, have in common. */
  private static Set<RequestTraits> findCommonTraits(List<Crash> crashes, Evidence evidence) {
    int from = Math.max(0, crashes.size() - MAX_COMPARED_CRASHES);
    Set<RequestTraits> earlier =
        evidence
            .quarantines()
            .active()
            .map(Quarantine::traits)
            .collect(Collectors.toCollection(HashSet::new));
    Set<RequestTraits> found = new HashSet<>();
    for (Crash crash : crashes.subList(from, crashes.size())) {
      List<RequestTraits> runs = crash.runs().stream().limit(MAX_COMPARED_RUNS).toList();
      for (RequestTraits run : runs) {
        earlier.stream().map(run::intersect).filter(RequestTraits::isSpecific).forEach(found::add);
      }
      earlier.addAll(runs);
    }
    return found;
  }

  private static Optional<Suspicion> assess(
      RequestTraits traits, List<Crash> unexplained, Evidence evidence) {
    OptionalLong liftedAtMs = evidence.quarantines().findLift(traits);
    long afterMs = liftedAtMs.orElse(Long.MIN_VALUE);
    List<Crash> supporting =
        evidence
            .crashes()
            .all()
            .filter(crash -> crash.atMs() > afterMs && crash.involves(traits))
            .toList();
    int crashes = CrashHistory.countMoments(supporting.stream());
    int fresh = CrashHistory.countMoments(supporting.stream().filter(unexplained::contains));
    boolean widens =
        evidence.quarantines().active().anyMatch(one -> one.traits().containsAll(traits));
    if (crashes < MIN_CRASHES || fresh < (widens ? MIN_CRASHES_TO_WIDEN : MIN_CRASHES)) {
      return Optional.empty();
    }
    long sinceMs = supporting.stream().mapToLong(Crash::atMs).min().orElseThrow();
    String service = supporting.get(0).service();
    long otherCrashed =
        unexplained.stream()
            .filter(crash -> crash.atMs() >= sinceMs && crash.service().equals(service))
            .mapToLong(crash -> countOwnWithout(crash, traits, evidence.daemonId()))
            .sum();
    Suspicion suspicion =
        new Suspicion(
            traits,
            crashes,
            sinceMs,
            evidence.soundRuns().countWith(traits, sinceMs),
            evidence.soundRuns().countWithout(traits, service, sinceMs),
            otherCrashed);
    return Optional.of(suspicion).filter(CommonTraitsStrategy::suffices);
  }

  private static boolean suffices(Suspicion suspicion) {
    return !isRefuted(suspicion.crashes(), suspicion.soundRuns())
        && suspicion.otherSoundRuns() >= MIN_OTHER_SOUND_RUNS
        && suspicion.otherSoundRuns() >= suspicion.otherCrashedRuns();
  }

  private static long countOwnWithout(Crash crash, RequestTraits traits, String daemonId) {
    return crash
        .reports()
        .filter(report -> report.daemonId().equals(daemonId))
        .flatMap(report -> report.runs().stream())
        .filter(run -> !run.containsAll(traits))
        .count();
  }
}
