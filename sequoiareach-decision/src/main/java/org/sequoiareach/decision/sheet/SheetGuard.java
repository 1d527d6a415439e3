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
 * Decides which sheet a daemon holds and whether it may serve by it.
 *
 * <p>The version held never falls. Where a version was held by more than half of the listed daemons
 * that were ready at one time, no daemon is ready with an older one later than {@link
 * SheetGuardSettings#boundMs()} after that time. This rests on: reads of the key-value service show
 * every write that was over when they were sent; monotonic clocks of the daemons run at one rate;
 * halves of the lists that two daemons use within the bound have a daemon in common that did not
 * restart in between, or that was confirmed again since.
 *
 * <p>Takes {@link SheetEvent}s, {@link TimeEvent.Ticked}, {@link PlatformEvent.SheetRead}, {@link
 * PlatformEvent.SheetReadFailed} and {@link PlatformEvent.VmsListed}; other events change nothing.
 * Not thread-safe.
 */
public final class SheetGuard {

  private static final long ASK_RETRY_MS = 1_000;
  private static final long START_GRACE_MS = 1_000;
  private static final long PULL_RETRY_MS = 1_000;
  private static final int ASKS_PER_TICK = 3;
  private static final int ANNOUNCEMENTS = 3;

  private final SheetGuardSettings settings;
  private final SheetConfirmation confirmation;
  private final SheetAssembly assembly = new SheetAssembly();
  private final SplittableRandom random;
  private final Map<Long, Long> askedMs = new HashMap<>();
  private final Map<String, Long> askAgainMs = new HashMap<>();
  private final long askAgeMs;
  private long sequence;
  private long lastTickMs;
  private long askFromMs;
  private long pullAgainMs;
  private long newestSeen;
  private String newestHolder = "";

  /**
   * Creates the guard of a daemon that has just started and holds no sheet.
   *
   * @param settings the constants
   */
  public SheetGuard(SheetGuardSettings settings) {
    this.settings = Check.notNull(settings, "settings");
    this.confirmation = new SheetConfirmation(settings.daemonId());
    this.random = new SplittableRandom(settings.seed());
    // Those that ask first spare the others the asking, because a confirmation is passed on.
    this.askAgeMs = settings.boundMs() / 2 + random.nextLong(settings.boundMs() / 4 + 1);
  }

  /**
   * Takes one event.
   *
   * @param event the event
   * @return what the host is to do, in order
   */
  public List<Effect> reduce(Event event) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof TimeEvent.Ticked ticked) {
      onTick(ticked.nowMs(), effects);
    } else if (event instanceof PlatformEvent.SheetRead read) {
      onRead(read, effects);
    } else if (event instanceof PlatformEvent.SheetReadFailed failed) {
      askFromMs = Math.min(askFromMs, failed.nowMs());
    } else if (event instanceof PlatformEvent.VmsListed listed) {
      onList(listed);
    } else if (event instanceof SheetEvent sheetEvent) {
      onPeer(sheetEvent, effects);
    }
    return effects;
  }

  /**
   * Takes the status that came with the answer to a probe.
   *
   * @param nowMs the time
   * @param fromDaemon the daemon that answered
   * @param probedMs when the probe was sent
   * @param status what the daemon holds
   * @return what the host is to do, in order
   */
  public List<Effect> answered(long nowMs, String fromDaemon, long probedMs, SheetStatus status) {
    List<Effect> effects = new ArrayList<>();
    confirmation.answered(fromDaemon, probedMs, status);
    confirmation.review(nowMs, assembly.version());
    onSeen(nowMs, fromDaemon, status, effects);
    return effects;
  }

  /**
   * Returns what this daemon may tell others of its sheet.
   *
   * @param nowMs the time
   * @return the status
   */
  public SheetStatus status(long nowMs) {
    return new SheetStatus(assembly.digest(), confirmation.settled(), confirmation.ageMs(nowMs));
  }

  /**
   * Returns the sheet held.
   *
   * @return the sheet, or empty if none was found yet
   */
  public Optional<Sheet> sheet() {
    return assembly.sheet();
  }

  /**
   * Tells why the daemon may not serve by the sheet it holds.
   *
   * @param nowMs the time
   * @return the reason, or empty if it may
   */
  public Optional<String> obstacle(long nowMs) {
    if (assembly.version() == 0) {
      return Optional.of("no sheet is known");
    }
    OptionalLong ageMs = confirmation.ageMs(nowMs);
    if (ageMs.isEmpty()) {
      return Optional.of("the sheet was not confirmed since the start or the last pause");
    }
    if (ageMs.getAsLong() > settings.boundMs()) {
      return Optional.of("the sheet was last confirmed " + ageMs.getAsLong() + " ms ago");
    }
    return Optional.empty();
  }

  private void onTick(long nowMs, List<Effect> effects) {
    if (lastTickMs == 0) {
      askFromMs = nowMs + START_GRACE_MS;
    } else if (nowMs - lastTickMs > settings.pauseBoundMs()) {
      confirmation.distrustBefore(nowMs);
      askedMs.clear();
      askAgainMs.clear();
      effects.add(new Effect.ReadPlatform("the process was paused"));
    }
    lastTickMs = nowMs;
    if (confirmation.listed().size() == 1) {
      confirmation.review(nowMs, assembly.version());
    }
    pullNewest(nowMs, effects);
    askListed(nowMs, effects);
  }

  private void onRead(PlatformEvent.SheetRead read, List<Effect> effects) {
    adopt(read.nowMs(), read.sheet(), "the key-value service", effects);
    if (read.sheet().version() == assembly.version()) {
      confirmation.confirmByRead(read.askedMs());
    }
  }

  private void onList(PlatformEvent.VmsListed event) {
    Set<String> daemons =
        event.vms().stream()
            .filter(vm -> vm.kind() == VmKind.DAEMON)
            .map(VmEntry::id)
            .collect(Collectors.toCollection(HashSet::new));
    confirmation.useList(daemons);
    confirmation.review(event.nowMs(), assembly.version());
    askAgainMs.keySet().retainAll(daemons);
  }

  private void onPeer(SheetEvent event, List<Effect> effects) {
    if (event instanceof SheetEvent.SheetStatusAsked asked) {
      SheetStatus status = status(asked.nowMs());
      effects.add(new SheetEffect.AnswerSheetStatus(asked.fromDaemon(), asked.sequence(), status));
    } else if (event instanceof SheetEvent.SheetStatusAnswered answer) {
      Long asked = askedMs.remove(answer.sequence());
      if (asked != null) {
        effects.addAll(answered(answer.nowMs(), answer.fromDaemon(), asked, answer.status()));
      }
    } else if (event instanceof SheetEvent.SheetStatusSeen seen) {
      onSeen(seen.nowMs(), seen.fromDaemon(), seen.status(), effects);
    } else if (event instanceof SheetEvent.SheetPulled pulled) {
      assembly.answer(pulled).ifPresent(effects::add);
    } else if (event instanceof SheetEvent.SheetSectionsReceived sections) {
      onSections(sections, effects);
    }
  }

  private void onSeen(long nowMs, String fromDaemon, SheetStatus status, List<Effect> effects) {
    long version = status.sheet().version();
    if (version <= assembly.version() || version < newestSeen) {
      return;
    }
    if (version > newestSeen) {
      pullAgainMs = nowMs;
    }
    newestSeen = version;
    newestHolder = fromDaemon;
    pullNewest(nowMs, effects);
  }

  private void pullNewest(long nowMs, List<Effect> effects) {
    if (newestSeen <= assembly.version() || nowMs < pullAgainMs) {
      return;
    }
    pullAgainMs = nowMs + PULL_RETRY_MS;
    effects.add(pull(newestHolder));
  }

  private void onSections(SheetEvent.SheetSectionsReceived event, List<Effect> effects) {
    int had = assembly.haveSections().size();
    Optional<Sheet> complete = assembly.add(event);
    if (complete.isPresent()) {
      adopt(event.nowMs(), complete.get(), event.fromDaemon(), effects);
    } else if (assembly.haveSections().size() > had) {
      effects.add(pull(event.fromDaemon()));
    }
  }

  private SheetEffect.PullSheet pull(String daemonId) {
    return new SheetEffect.PullSheet(daemonId, assembly.version(), assembly.haveSections());
  }

  private void adopt(long nowMs, Sheet sheet, String source, List<Effect> effects) {
    if (sheet.version() <= assembly.version()) {
      return;
    }
    assembly.replace(sheet);
    confirmation.review(nowMs, assembly.version());
    effects.add(new SheetEffect.SheetAdopted(sheet, source));
    SheetStatus status = status(nowMs);
    List<String> others = others();
    for (int i = 0; i < ANNOUNCEMENTS && !others.isEmpty(); i++) {
      String chosen = others.remove(random.nextInt(others.size()));
      effects.add(new SheetEffect.AnnounceSheet(chosen, status));
    }
  }

  private void askListed(long nowMs, List<Effect> effects) {
    boolean fresh = confirmation.ageMs(nowMs).orElse(Long.MAX_VALUE) < askAgeMs;
    if (fresh || nowMs < askFromMs) {
      return;
    }
    long sinceMs = nowMs - settings.boundMs() / 2;
    askedMs.values().removeIf(sentMs -> sentMs < nowMs - settings.boundMs());
    List<String> candidates = others();
    candidates.removeIf(
        id ->
            askAgainMs.getOrDefault(id, Long.MIN_VALUE) > nowMs
                || !confirmation.lacksAnswerSince(id, sinceMs));
    for (int i = 0; i < ASKS_PER_TICK && !candidates.isEmpty(); i++) {
      String chosen = candidates.remove(random.nextInt(candidates.size()));
      sequence++;
      askedMs.put(sequence, nowMs);
      askAgainMs.put(chosen, nowMs + ASK_RETRY_MS);
      effects.add(new SheetEffect.AskSheetStatus(chosen, sequence));
    }
  }

  private List<String> others() {
    return confirmation.listed().stream()
        .filter(id -> !id.equals(settings.daemonId()))
        .sorted()
        .collect(Collectors.toCollection(ArrayList::new));
  }
}
