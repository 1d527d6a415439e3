package org.sequoiareach.decision.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.Check;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetStatus;

/**
 * Decides which sheet a daemon uses and whether it is recent enough to serve with.
 *
 * <p>The version in use never decreases. Once a version was held by more than half of the listed
 * daemons while they were ready, no daemon is ready with an older version later than {@link
 * SheetGuardSettings#boundMs()} after that time. This guarantee assumes that:
 *
 * <ul>
 *   <li>a read of the key-value service shows every write completed before the read was sent;
 *   <li>the monotonic clocks of all daemons run at the same rate;
 *   <li>the majorities of the VM lists that two daemons use within the bound have a daemon in
 *       common that did not restart in between, or that was confirmed again since its restart.
 * </ul>
 *
 * <p>Handles {@link SheetEvent}s, {@link TimeEvent.Ticked}, {@link PlatformEvent.SheetRead}, {@link
 * PlatformEvent.SheetReadFailed} and {@link PlatformEvent.VmsListed} and ignores other events. Not
 * thread-safe.
 */
public final class SheetGuard {

  private static final long QUERY_RETRY_MS = 1_000;

  /** Gives the first read of the key-value service time to complete before peers are queried. */
  private static final long STARTUP_QUERY_DELAY_MS = 1_000;

  private static final long PULL_RETRY_MS = 1_000;
  private static final int MAX_QUERIES_PER_TICK = 3;
  private static final int MAX_ANNOUNCEMENTS = 3;

  private final SheetGuardSettings settings;
  private final SheetConfirmation confirmation;
  private final SheetAssembly assembly = new SheetAssembly();
  private final SplittableRandom random;
  private final Map<Long, Long> querySentMs = new HashMap<>();
  private final Map<String, Long> nextQueryMs = new HashMap<>();
  private final long queryAgeMs;
  private long sequence;
  private long lastTickMs;
  private long queryFromMs;
  private long nextPullMs;
  private long newestVersion;
  private String newestHolder = "";

  /**
   * Creates the guard of a daemon that has just started and holds no sheet.
   *
   * @param settings the settings
   */
  public SheetGuard(SheetGuardSettings settings) {
    this.settings = Check.notNull(settings, "settings");
    this.confirmation = new SheetConfirmation(settings.daemonId());
    this.random = new SplittableRandom(settings.seed());
    // Staggered at random: confirmations are passed on, so early queries spare other daemons
    // theirs.
    this.queryAgeMs = settings.boundMs() / 2 + random.nextLong(settings.boundMs() / 4 + 1);
  }

  /**
   * Handles one event.
   *
   * @param event the event
   * @return the effects for the host to perform, in order
   */
  public List<Effect> reduce(Event event) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof TimeEvent.Ticked ticked) {
      handleTick(ticked.nowMs(), effects);
    } else if (event instanceof PlatformEvent.SheetRead read) {
      handleSheetRead(read, effects);
    } else if (event instanceof PlatformEvent.SheetReadFailed failed) {
      queryFromMs = Math.min(queryFromMs, failed.nowMs());
    } else if (event instanceof PlatformEvent.VmsListed listed) {
      handleVmList(listed);
    } else if (event instanceof SheetEvent sheetEvent) {
      handlePeerEvent(sheetEvent, effects);
    }
    return effects;
  }

  /**
   * Handles a status that was reported in answer to a probe or query of this daemon.
   *
   * @param nowMs the current time in milliseconds
   * @param fromDaemon the daemon that answered
   * @param sentMs when the probe or query was sent, in milliseconds
   * @param status the status of the sheet held by the daemon
   * @return the effects for the host to perform, in order
   */
  public List<Effect> handleStatusAnswer(
      long nowMs, String fromDaemon, long sentMs, SheetStatus status) {
    List<Effect> effects = new ArrayList<>();
    confirmation.recordAnswer(fromDaemon, sentMs, status);
    confirmation.update(nowMs, assembly.version());
    handleReportedStatus(nowMs, fromDaemon, status, effects);
    return effects;
  }

  /**
   * Returns the status of the local sheet, as reported to other daemons.
   *
   * @param nowMs the current time in milliseconds
   * @return the status
   */
  public SheetStatus status(long nowMs) {
    return new SheetStatus(assembly.digest(), confirmation.settled(), confirmation.ageMs(nowMs));
  }

  /**
   * Returns the local sheet.
   *
   * @return the sheet, or empty if none has been adopted yet
   */
  public Optional<Sheet> sheet() {
    return assembly.sheet();
  }

  /**
   * Returns the reason why the daemon must not serve with its sheet.
   *
   * @param nowMs the current time in milliseconds
   * @return the reason, or empty if the sheet is recent enough
   */
  public Optional<String> notReadyReason(long nowMs) {
    if (assembly.version() == 0) {
      return Optional.of("no sheet is known");
    }
    OptionalLong ageMs = confirmation.ageMs(nowMs);
    if (ageMs.isEmpty()) {
      return Optional.of("the sheet was not confirmed since the start or the last pause");
    }
    if (ageMs.getAsLong() > settings.boundMs()) {
      return Optional.of(
          "the sheet was last confirmed "
              + ageMs.getAsLong()
              + " ms ago; the limit is "
              + settings.boundMs()
              + " ms");
    }
    return Optional.empty();
  }

  private void handleTick(long nowMs, List<Effect> effects) {
    if (lastTickMs == 0) {
      queryFromMs = nowMs + STARTUP_QUERY_DELAY_MS;
    } else if (nowMs - lastTickMs > settings.pauseBoundMs()) {
      confirmation.invalidateBefore(nowMs);
      querySentMs.clear();
      nextQueryMs.clear();
      effects.add(new Effect.ReadPlatform("the process was paused"));
    }
    lastTickMs = nowMs;
    if (confirmation.listed().size() == 1) {
      confirmation.update(nowMs, assembly.version());
    }
    pullNewestSheet(nowMs, effects);
    queryPeers(nowMs, effects);
  }

  private void handleSheetRead(PlatformEvent.SheetRead read, List<Effect> effects) {
    adopt(read.nowMs(), read.sheet(), "the key-value service", effects);
    if (read.sheet().version() == assembly.version()) {
      confirmation.confirmByRead(read.askedMs());
    }
  }

  private void handleVmList(PlatformEvent.VmsListed event) {
    Set<String> daemons =
        event.vms().stream()
            .filter(vm -> vm.kind() == VmKind.DAEMON)
            .map(VmEntry::id)
            .collect(Collectors.toCollection(HashSet::new));
    confirmation.setListed(daemons);
    confirmation.update(event.nowMs(), assembly.version());
    nextQueryMs.keySet().retainAll(daemons);
  }

  private void handlePeerEvent(SheetEvent event, List<Effect> effects) {
    if (event instanceof SheetEvent.SheetStatusAsked asked) {
      SheetStatus status = status(asked.nowMs());
      effects.add(new SheetEffect.AnswerSheetStatus(asked.fromDaemon(), asked.sequence(), status));
    } else if (event instanceof SheetEvent.SheetStatusAnswered answer) {
      Long sentMs = querySentMs.remove(answer.sequence());
      if (sentMs != null) {
        effects.addAll(
            handleStatusAnswer(answer.nowMs(), answer.fromDaemon(), sentMs, answer.status()));
      }
    } else if (event instanceof SheetEvent.SheetStatusSeen seen) {
      handleReportedStatus(seen.nowMs(), seen.fromDaemon(), seen.status(), effects);
    } else if (event instanceof SheetEvent.SheetPulled pulled) {
      assembly.createSections(pulled).ifPresent(effects::add);
    } else if (event instanceof SheetEvent.SheetSectionsReceived sections) {
      handleSections(sections, effects);
    }
  }

  private void handleReportedStatus(
      long nowMs, String fromDaemon, SheetStatus status, List<Effect> effects) {
    long version = status.sheet().version();
    if (version <= assembly.version() || version < newestVersion) {
      return;
    }
    if (version > newestVersion) {
      nextPullMs = nowMs;
    }
    newestVersion = version;
    newestHolder = fromDaemon;
    pullNewestSheet(nowMs, effects);
  }

  private void pullNewestSheet(long nowMs, List<Effect> effects) {
    if (newestVersion <= assembly.version() || nowMs < nextPullMs) {
      return;
    }
    nextPullMs = nowMs + PULL_RETRY_MS;
    effects.add(createPull(newestHolder));
  }

  private void handleSections(SheetEvent.SheetSectionsReceived event, List<Effect> effects) {
    int heldBefore = assembly.heldSections().size();
    Optional<Sheet> complete = assembly.addSections(event);
    if (complete.isPresent()) {
      adopt(event.nowMs(), complete.get(), event.fromDaemon(), effects);
    } else if (assembly.heldSections().size() > heldBefore) {
      effects.add(createPull(event.fromDaemon()));
    }
  }

  private SheetEffect.PullSheet createPull(String daemonId) {
    return new SheetEffect.PullSheet(daemonId, assembly.version(), assembly.heldSections());
  }

  private void adopt(long nowMs, Sheet sheet, String source, List<Effect> effects) {
    if (sheet.version() <= assembly.version()) {
      return;
    }
    assembly.replaceSheet(sheet);
    confirmation.update(nowMs, assembly.version());
    effects.add(new SheetEffect.SheetAdopted(sheet, source));
    SheetStatus status = status(nowMs);
    List<String> peers = peers();
    for (int i = 0; i < MAX_ANNOUNCEMENTS && !peers.isEmpty(); i++) {
      String chosen = peers.remove(random.nextInt(peers.size()));
      effects.add(new SheetEffect.AnnounceSheet(chosen, status));
    }
  }

  private void queryPeers(long nowMs, List<Effect> effects) {
    boolean confirmedRecently = confirmation.ageMs(nowMs).orElse(Long.MAX_VALUE) < queryAgeMs;
    if (confirmedRecently || nowMs < queryFromMs) {
      return;
    }
    long sinceMs = nowMs - settings.boundMs() / 2;
    querySentMs.values().removeIf(sentMs -> sentMs < nowMs - settings.boundMs());
    List<String> candidates = peers();
    candidates.removeIf(
        id ->
            nextQueryMs.getOrDefault(id, Long.MIN_VALUE) > nowMs
                || !confirmation.needsAnswerSince(id, sinceMs));
    for (int i = 0; i < MAX_QUERIES_PER_TICK && !candidates.isEmpty(); i++) {
      String chosen = candidates.remove(random.nextInt(candidates.size()));
      sequence++;
      querySentMs.put(sequence, nowMs);
      nextQueryMs.put(chosen, nowMs + QUERY_RETRY_MS);
      effects.add(new SheetEffect.AskSheetStatus(chosen, sequence));
    }
  }

  private List<String> peers() {
    return confirmation.listed().stream()
        .filter(id -> !id.equals(settings.daemonId()))
        .sorted()
        .collect(Collectors.toCollection(ArrayList::new));
  }
}
