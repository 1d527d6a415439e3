package org.sequoiareach.decision.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.sheet.LimitsEntry;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.PlanEntry;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetCatalogue;
import org.sequoiareach.model.sheet.SheetManifest;
import org.sequoiareach.model.sheet.SheetStatus;

/** Tests which reads and answers make a daemon ready, and how sheets are pulled from peers. */
class SheetGuardTest {

  private static final long START_MS = 10_000;
  private static final long BOUND_MS = 5_000;
  private static final long PAUSE_BOUND_MS = 1_000;

  private final SheetGuard guard =
      new SheetGuard(new SheetGuardSettings("d0", BOUND_MS, PAUSE_BOUND_MS, 1));

  @BeforeEach
  void start() {
    guard.reduce(new PlatformEvent.VmsListed(START_MS, START_MS, vms(5)));
    guard.reduce(new TimeEvent.Ticked(START_MS));
  }

  @Test
  void confirmationAgeCountsFromTheSendingOfTheRead() {
    read(START_MS + 4_000, START_MS, 3);
    assertThat(guard.notReadyReason(START_MS + BOUND_MS)).isEmpty();
    assertThat(guard.notReadyReason(START_MS + BOUND_MS + 1)).isPresent();
  }

  @Test
  void olderSheetIsNeverAdopted() {
    read(START_MS, START_MS, 3);
    read(START_MS + 10, START_MS + 10, 2);
    assertThat(guard.sheet().orElseThrow().version()).isEqualTo(3);
    assertThat(guard.status(START_MS + 10).confirmedAgeMs()).hasValue(10);
  }

  @ParameterizedTest
  @CsvSource({"1, false", "2, false", "3, true", "4, true"})
  void startDuringOutageNeedsMajorityOfListedDaemons(int answers, boolean ready) {
    List<Long> querySequences = queryAllPeers();
    for (int i = 0; i < answers; i++) {
      answer(querySequences.get(i), "d" + (i + 1), status(1, true));
    }
    receiveSections("d1", sheet(1));
    assertThat(guard.notReadyReason(START_MS + 2_000).isEmpty()).isEqualTo(ready);
  }

  @Test
  void unsettledDaemonsDoNotCountTowardsMajority() {
    List<Long> querySequences = queryAllPeers();
    for (int i = 0; i < 4; i++) {
      answer(querySequences.get(i), "d" + (i + 1), status(1, i < 2));
    }
    receiveSections("d1", sheet(1));
    assertThat(guard.notReadyReason(START_MS + 2_000)).isPresent();
  }

  @Test
  void highestVersionAmongAnswersIsRequired() {
    List<Long> querySequences = queryAllPeers();
    answer(querySequences.get(0), "d1", status(1, true));
    answer(querySequences.get(1), "d2", status(1, true));
    answer(querySequences.get(2), "d3", status(2, true));
    receiveSections("d1", sheet(1));
    assertThat(guard.notReadyReason(START_MS + 2_000)).isPresent();
    receiveSections("d3", sheet(2));
    assertThat(guard.notReadyReason(START_MS + 2_000)).isEmpty();
    assertThat(guard.sheet().orElseThrow().version()).isEqualTo(2);
  }

  @Test
  void pausedProcessNeedsReadSentAfterPause() {
    read(START_MS, START_MS, 1);
    long resumedMs = START_MS + PAUSE_BOUND_MS + 1;
    guard.reduce(new TimeEvent.Ticked(resumedMs));
    assertThat(guard.notReadyReason(resumedMs)).isPresent();
    read(resumedMs + 5, resumedMs - 1, 1);
    assertThat(guard.notReadyReason(resumedMs + 5)).isPresent();
    read(resumedMs + 9, resumedMs + 6, 1);
    assertThat(guard.notReadyReason(resumedMs + 9)).isEmpty();
  }

  @Test
  void confirmationOfAnotherDaemonIsAdoptedWithItsAge() {
    read(START_MS, START_MS, 1);
    long askedMs = START_MS + 4_500;
    SheetStatus relayed =
        new SheetStatus(SheetManifest.of(sheet(1)).digest(), true, OptionalLong.of(700));
    guard.handleStatusAnswer(askedMs + 200, "d1", askedMs, relayed);
    assertThat(guard.status(askedMs + 200).confirmedAgeMs()).hasValue(900);
  }

  @Test
  void singleListedDaemonConfirmsItself() {
    read(START_MS, START_MS, 1);
    guard.reduce(new PlatformEvent.VmsListed(START_MS, START_MS, vms(1)));
    for (long ms = START_MS; ms < START_MS + 3 * BOUND_MS; ms += 500) {
      guard.reduce(new TimeEvent.Ticked(ms));
      assertThat(guard.notReadyReason(ms)).isEmpty();
    }
  }

  @Test
  void onlyChangedSectionsAreTransferred() {
    Sheet before = sheet(1, 1_200, 0);
    Sheet after = sheet(2, 1_200, 7);
    guard.reduce(new PlatformEvent.SheetRead(START_MS, START_MS, before));
    SheetGuard other = new SheetGuard(new SheetGuardSettings("d1", BOUND_MS, PAUSE_BOUND_MS, 2));
    other.reduce(new PlatformEvent.SheetRead(START_MS, START_MS, after));
    List<Integer> sent = pullAll(other);
    assertThat(sent).containsExactly(1);
    assertThat(guard.sheet()).contains(after);
  }

  @Test
  void largeSheetIsTransferredInParts() {
    Sheet complete = sheet(2, 1_200, 0);
    SheetGuard other = new SheetGuard(new SheetGuardSettings("d1", BOUND_MS, PAUSE_BOUND_MS, 2));
    other.reduce(new PlatformEvent.SheetRead(START_MS, START_MS, complete));
    List<Integer> sent = pullAll(other);
    assertThat(sent).containsExactly(500, 500, 200);
    assertThat(guard.sheet()).contains(complete);
  }

  /** Pulls from another guard until complete; returns the number of organisations per message. */
  private List<Integer> pullAll(SheetGuard other) {
    List<Integer> sent = new ArrayList<>();
    List<Effect> effects =
        guard.reduce(new SheetEvent.SheetStatusSeen(START_MS, "d1", other.status(START_MS)));
    while (!effects.isEmpty() && effects.get(0) instanceof SheetEffect.PullSheet pull) {
      Effect answer =
          other
              .reduce(
                  new SheetEvent.SheetPulled(
                      START_MS, "d0", pull.haveVersion(), pull.haveSections()))
              .get(0);
      SheetEffect.SendSheetSections part = (SheetEffect.SendSheetSections) answer;
      sent.add(part.organisations().size());
      effects =
          guard.reduce(
              new SheetEvent.SheetSectionsReceived(
                  START_MS, "d1", part.manifest(), part.catalogue(), part.organisations()));
    }
    return sent;
  }

  private List<Long> queryAllPeers() {
    List<Long> sequences = new ArrayList<>();
    for (long ms = START_MS + 1_000; ms <= START_MS + 1_500; ms += 100) {
      guard.reduce(new TimeEvent.Ticked(ms)).stream()
          .filter(SheetEffect.AskSheetStatus.class::isInstance)
          .forEach(effect -> sequences.add(((SheetEffect.AskSheetStatus) effect).sequence()));
    }
    assertThat(sequences).hasSize(4);
    return sequences;
  }

  private void answer(long sequence, String from, SheetStatus status) {
    guard.reduce(new SheetEvent.SheetStatusAnswered(START_MS + 1_600, from, sequence, status));
  }

  private void receiveSections(String from, Sheet sheet) {
    guard.reduce(
        new SheetEvent.SheetSectionsReceived(
            START_MS + 1_700,
            from,
            SheetManifest.of(sheet),
            Optional.of(SheetCatalogue.of(sheet)),
            sheet.organisations()));
  }

  private void read(long nowMs, long askedMs, long version) {
    guard.reduce(new PlatformEvent.SheetRead(nowMs, askedMs, sheet(version)));
  }

  private static SheetStatus status(long version, boolean settled) {
    return new SheetStatus(
        SheetManifest.of(sheet(version)).digest(), settled, OptionalLong.empty());
  }

  private static Sheet sheet(long version) {
    return sheet(version, 0, 0);
  }

  private static Sheet sheet(long version, int organisations, int plan) {
    List<OrganisationEntry> entries =
        IntStream.range(0, organisations)
            .mapToObj(i -> organisation("o" + i, i == 3 ? plan : 0))
            .toList();
    return new Sheet(version, List.of(), List.of(), entries);
  }

  private static OrganisationEntry organisation(String id, int plan) {
    return new OrganisationEntry(
        id, List.of(), 1, List.of(), List.of(), new PlanEntry(plan, 0), new LimitsEntry(1, 1));
  }

  private static List<VmEntry> vms(int daemons) {
    return IntStream.range(0, daemons)
        .mapToObj(i -> new VmEntry("d" + i, VmKind.DAEMON, "x:" + i, "a", false, List.of()))
        .toList();
  }
}
