package org.sequoiareach.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.PlatformEvent;
import org.sequoiareach.decision.event.TimeEvent;
import org.sequoiareach.decision.membership.MembershipEvent;
import org.sequoiareach.model.platform.MemberState;
import org.sequoiareach.model.platform.MemberUpdate;
import org.sequoiareach.model.platform.VmEntry;
import org.sequoiareach.model.platform.VmKind;
import org.sequoiareach.model.request.Reason;
import org.sequoiareach.model.request.Verdict;
import org.sequoiareach.model.route.RoutedTarget;
import org.sequoiareach.model.route.RoutingSheet;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.sheet.SheetStatus;

class DispatchReducerTest {

  private DispatchFixture fixture = DispatchFixture.ready();

  @ParameterizedTest
  @CsvSource({"1500, 450", "39000, 1000"})
  void holdsCallBrieflyUntilSheetIsLoadedThenRefusesWithRetryAfter(long timeLeftMs, long holdMs) {
    fixture = new DispatchFixture();
    String call =
        timeLeftMs == 1_500 ? fixture.call("status") : fixture.generate("draft", 1_000, 100);

    fixture.tick(holdMs - 50);
    assertThat(fixture.refusal(call)).isEmpty();
    fixture.tick(50);

    DispatchEffect.RefuseCall refusal = refusal(call);
    assertThat(refusal.reason()).isEqualTo(Reason.NOT_READY);
    assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(refusal.retryAfterMs()).isPositive();
  }

  @Test
  void placesHeldCallsOnceSheetAndTargetsAreLoaded() {
    fixture = new DispatchFixture();
    final String call = fixture.call("status");
    final String gone = fixture.call("status");
    fixture.apply(new DispatchEvent.CallerLeft(fixture.nowMs(), gone));
    fixture.advance(100);

    fixture.apply(
        new DispatchEvent.SheetLearned(fixture.nowMs(), DispatchFixture.sheet(1, "k1"), "store"));
    assertThat(fixture.sends(call)).isEmpty();
    fixture.apply(
        new DispatchEvent.TargetsListed(fixture.nowMs(), 10, DispatchFixture.targets(), "store"));

    assertThat(fixture.sends(call)).hasSize(1);
    assertThat(fixture.sends(gone)).isEmpty();
    fixture.tick(500);
    assertThat(fixture.refusal(call)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void refusesAtOnceWithoutSheetIfStoreIsUnreachable(boolean arrivesBefore) {
    fixture = new DispatchFixture();
    String early = arrivesBefore ? fixture.call("status") : "";
    fixture.apply(new DispatchEvent.StoreSeen(fixture.nowMs(), false));
    String call = arrivesBefore ? early : fixture.call("status");
    fixture.tick(arrivesBefore ? 50 : 0);

    assertThat(refusal(call).retryAfterMs()).isPositive();
  }

  @Test
  void refusesCallsBeyondTheNumberHeld() {
    fixture = new DispatchFixture();
    for (int i = 0; i < UnroutedCalls.MAX_CALLS; i++) {
      assertThat(fixture.refusal(fixture.call("status"))).isEmpty();
    }

    assertThat(refusal(fixture.call("status")).reason()).isEqualTo(Reason.NOT_READY);
  }

  @ParameterizedTest
  @CsvSource({"nowhere, k1, NOT_FOUND", "status, k9, UNKNOWN_KEY"})
  void refusesUnknownRouteOrKey(String route, String key, Reason reason) {
    assertThat(refusal(fixture.call(route, key, Optional.empty())).reason()).isEqualTo(reason);
  }

  @Test
  void ignoresOlderSheet() {
    fixture.apply(new DispatchEvent.SheetLearned(0, DispatchFixture.sheet(5, "k5"), "store"));
    fixture.apply(new DispatchEvent.SheetLearned(0, DispatchFixture.sheet(4, "k4"), "peer"));

    assertThat(fixture.refusal(fixture.call("status", "k5", Optional.empty()))).isEmpty();
    assertThat(fixture.refusal(fixture.call("status", "k4", Optional.empty()))).isPresent();
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"LOST", "BROKEN_ANSWER", "SERVER_ERROR"})
  void doesNotRetryNonIdempotentCallThatMayHaveRun(AttemptFault fault) {
    String call = fixture.call("booking");
    fixture.failed(call, fault, false);

    assertThat(fixture.sends(call)).hasSize(1);
    fixture
        .refusal(call)
        .ifPresent(refusal -> assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptFault.class,
      names = {"NOT_SENT", "NOBODY_THERE", "REJECTED", "WRONG_TARGET"})
  void retriesNonIdempotentCallThatHasNotRun(AttemptFault fault) {
    String call = fixture.call("booking");
    fixture.failed(call, fault, false);

    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(targetsOf(call)).hasSize(2);
  }

  @Test
  void reportsNotRunOnlyIfNoAttemptMayHaveRun() {
    String call = fixture.call("status");
    fixture.failed(call, AttemptFault.LOST, false);
    fixture.failed(call, AttemptFault.REJECTED, false);
    fixture.failed(call, AttemptFault.REJECTED, false);

    assertThat(refusal(call).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void limitsRunsOfIdempotentCallToMaxTargetsOfRoute() {
    String call = fixture.call("status");
    fixture.failed(call, AttemptFault.SERVER_ERROR, false);
    fixture.failed(call, AttemptFault.SERVER_ERROR, false);

    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(fixture.all(DispatchEffect.DeliverHeldAnswer.class)).hasSize(1);
  }

  @Test
  void limitsRetriesToSharedBudget() {
    int requests = 400;
    for (int i = 0; i < requests; i++) {
      fixture.failed(fixture.call("status"), AttemptFault.REJECTED, false);
    }

    int retries = fixture.all(DispatchEffect.SendCall.class).size() - requests;
    assertThat(retries).isBetween(1, (int) (0.2 * requests + 52));
  }

  @Test
  void refusesCallAtTimeLimitOfRoute() {
    String call = fixture.call("booking");
    fixture.tick(DispatchFixture.LIMIT_MS - 50);
    assertThat(fixture.refusal(call)).isEmpty();
    fixture.tick(100);

    assertThat(refusal(call).reason()).isEqualTo(Reason.DEADLINE);
    assertThat(refusal(call).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
  }

  @Test
  void cutsStreamThatFailsAfterItsStart() {
    String call = fixture.generate(1_000, 500);
    fixture.started(call);
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isTrue();
    assertThat(fixture.sends(call)).hasSize(1);
  }

  /** A long body is passed on before its end. */
  @ParameterizedTest
  @ValueSource(strings = {"booking", "status"})
  void cutsPlainAnswerThatFailsAfterItsStart(String route) {
    String call = fixture.call(route);
    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isTrue();
    assertThat(fixture.refusal(call)).isEmpty();
  }

  @Test
  void resumesRepeatableStreamOnAnotherEngineOnce() {
    String call = fixture.generate("check", 2_000, 40);
    fixture.started(call);

    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.sends(call)).extracting(send -> send.target().id()).doesNotHaveDuplicates();
    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(fixture.wasCut(call)).isFalse();

    fixture.failed(call, AttemptFault.LOST, true);

    assertThat(fixture.sends(call)).hasSize(2);
    assertThat(fixture.wasCut(call)).isTrue();
  }

  @Test
  void cutsResumableStreamIfNoEngineHasCapacity() {
    String call = fixture.generate("check", 2_000, 40);
    fixture.started(call);
    DispatchFixture.targets().stream()
        .filter(target -> !target.id().equals(fixture.lastSend(call).target().id()))
        .forEach(
            target -> fixture.apply(new DispatchEvent.TargetLeaves(fixture.nowMs(), target.id())));

    fixture.failed(call, AttemptFault.BROKEN_ANSWER, true);

    assertThat(fixture.wasCut(call)).isTrue();
    assertThat(fixture.refusal(call)).isEmpty();
  }

  @Test
  void doesNotReturnToOlderSheetOrGoneTargetAfterRestoreOfStore() {
    fixture.apply(new DispatchEvent.SheetLearned(fixture.nowMs(), sheetAt(5, 50, "k5"), "store"));
    fixture.apply(new DispatchEvent.TargetRemoved(fixture.nowMs(), 60, "desk0"));
    fixture.apply(
        new DispatchEvent.StoreRestored(fixture.nowMs(), "era 0 revision 60", "era 1 revision 20"));

    fixture.apply(
        new DispatchEvent.TargetsListed(
            fixture.nowMs(), 1_020, DispatchFixture.targets(), "store"));
    fixture.apply(
        new DispatchEvent.SheetLearned(fixture.nowMs(), sheetAt(4, 1_015, "k4"), "store"));

    assertThat(fixture.refusal(fixture.call("status", "k4", Optional.empty()))).isPresent();
    for (int i = 0; i < 12; i++) {
      String call = fixture.call("status", "k5", Optional.empty());
      assertThat(fixture.lastSend(call).target().id()).isNotEqualTo("desk0");
    }
    fixture.apply(
        new DispatchEvent.SheetLearned(fixture.nowMs(), sheetAt(6, 1_025, "k6"), "store"));
    assertThat(fixture.refusal(fixture.call("status", "k6", Optional.empty()))).isEmpty();
  }

  @Test
  void keepsTargetsMissingFromRestoredCopyUntilTheyWriteTheirEntriesAgain() {
    fixture.apply(
        new DispatchEvent.StoreRestored(fixture.nowMs(), "era 0 revision 60", "era 1 revision 20"));
    fixture.apply(
        new DispatchEvent.TargetsListed(
            fixture.nowMs(), 1_020, DispatchFixture.targets().subList(0, 5), "store"));

    fixture.tick(1_800);
    assertThat(usedDesks()).hasSizeGreaterThan(1);

    fixture.tick(200);
    String late = fixture.call("status");
    assertThat(fixture.lastSend(late).target().id()).isEqualTo("desk0");
  }

  private static RoutingSheet sheetAt(long version, long revision, String key) {
    RoutingSheet sheet = DispatchFixture.sheet(version, key);
    return new RoutingSheet(
        revision, version, sheet.routes(), sheet.services(), sheet.limits(), sheet.organisations());
  }

  private List<String> usedDesks() {
    return Stream.generate(() -> fixture.lastSend(fixture.call("status")).target().id())
        .limit(6)
        .distinct()
        .toList();
  }

  @Test
  void doesNotSendToRemovedTarget() {
    String first = fixture.lastSend(fixture.call("booking")).target().id();
    fixture.apply(new DispatchEvent.TargetRemoved(fixture.nowMs(), 11, first));

    for (int i = 0; i < 20; i++) {
      assertThat(fixture.lastSend(fixture.call("booking")).target().id()).isNotEqualTo(first);
    }
  }

  @Test
  void spreadsConcurrentPromptsOverEngines() {
    Set<String> engines = new HashSet<>();
    for (int i = 0; i < 4; i++) {
      engines.add(fixture.lastSend(fixture.generate(3_000, 500)).target().id());
    }

    assertThat(engines).hasSize(4);
  }

  @Test
  void considersTargetUseOfOtherDaemons() {
    for (int i = 0; i < 3; i++) {
      fixture.apply(
          new DispatchEvent.PeerStateTold(
              fixture.nowMs(),
              "peer",
              1,
              10,
              Map.of(
                  "engines0", new TargetUse(1, 3_000, 4_000),
                  "engines1", new TargetUse(1, 3_000, 4_000),
                  "engines2", new TargetUse(1, 3_000, 4_000)),
              List.of(),
              Map.of(),
              1,
              false,
              1));
    }

    assertThat(fixture.lastSend(fixture.generate(3_000, 500)).target().id()).isEqualTo("engines3");
  }

  @Test
  void refusesImmediatelyWhenAllEnginesAreFull() {
    Optional<DispatchEffect.RefuseCall> refusal = Optional.empty();
    for (int i = 0; i < 400 && refusal.isEmpty(); i++) {
      refusal = fixture.refusal(fixture.generate(100, 10));
    }

    assertThat(refusal)
        .hasValueSatisfying(
            full -> {
              assertThat(full.verdict()).isEqualTo(Verdict.NOT_RUN);
              assertThat(full.retryAfterMs()).isPositive();
            });
  }

  @Test
  void pullsSheetFromPeerIfStoreDoesNotDeliverIt() {
    joinPeer();
    fixture.apply(
        new DispatchEvent.PeerStateTold(
            fixture.nowMs(), "10.0.0.2:1", 8, 10, Map.of(), List.of(), Map.of(), 8, false, 1));
    fixture.tick(100);
    assertThat(fixture.all(DispatchEffect.PullState.class)).isEmpty();
    fixture.tick(400);

    assertThat(fixture.all(DispatchEffect.PullState.class))
        .first()
        .satisfies(pull -> assertThat(pull.sheet()).isTrue());
  }

  @Test
  void sendsNewSheetRevisionToPeersImmediately() {
    joinPeer();
    List<Effect> effects =
        fixture.apply(
            new DispatchEvent.SheetLearned(
                fixture.nowMs(), DispatchFixture.sheet(9, "k9"), "store"));

    assertThat(effects)
        .filteredOn(DispatchEffect.TellPeer.class::isInstance)
        .singleElement()
        .satisfies(
            effect -> assertThat(((DispatchEffect.TellPeer) effect).sheetRevision()).isEqualTo(9));
  }

  @Test
  void migratesRunOffEngineThatPeerReportsAsLeaving() {
    String call = fixture.generate(1_000, 500);
    fixture.started(call);
    String engine = fixture.lastSend(call).target().id();
    fixture.apply(
        new DispatchEvent.PeerStateTold(
            fixture.nowMs(),
            "10.0.0.2:1",
            1,
            10,
            Map.of(),
            List.of(engine),
            Map.of(),
            1,
            false,
            1));

    assertThat(fixture.copies(call)).hasSize(1);
  }

  @Test
  void requestsReportsFromOwnedEngines() {
    fixture.tick(500);

    assertThat(fixture.all(DispatchEffect.AskReport.class))
        .extracting(ask -> ask.target().service())
        .contains(DispatchFixture.ENGINES)
        .doesNotContain(DispatchFixture.DESK)
        .hasSize(4);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestsReportsFromUsedEnginesMoreOftenWhileListIsUnreliable(boolean reachableAgain) {
    String call = fixture.generate(1_000, 500);
    final String engine = fixture.lastSend(call).target().id();
    fixture.apply(new DispatchEvent.StoreSeen(fixture.nowMs(), false));
    fixture.apply(new DispatchEvent.StoreSeen(fixture.nowMs(), reachableAgain));
    fixture.tick(1_000);

    assertThat(fixture.all(DispatchEffect.AskReport.class))
        .filteredOn(ask -> ask.target().id().equals(engine))
        .hasSize(4);
  }

  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void marksTargetWithoutListenerAsLeavingOnlyDuringStoreOutage(boolean outage, boolean marked) {
    String engine = fixture.lastSend(fixture.generate(500, 500)).target().id();
    fixture.apply(new DispatchEvent.StoreSeen(fixture.nowMs(), !outage));
    fixture.apply(new DispatchEvent.NobodyThere(fixture.nowMs(), engine));

    boolean used = false;
    for (int i = 0; i < 20; i++) {
      used |= fixture.lastSend(fixture.generate(500, 500)).target().id().equals(engine);
    }
    assertThat(used).isEqualTo(!marked);
  }

  @ParameterizedTest
  @CsvSource({"1, true", "2, false"})
  void migratesRunOffEngineThatAnnouncesLeavingUnlessItWasReplacedSince(
      long listedIncarnation, boolean leaves) {
    String call = fixture.generate(1_000, 500);
    fixture.started(call);
    RoutedTarget engine = fixture.lastSend(call).target();
    RoutedTarget listed =
        new RoutedTarget(
            engine.id(),
            listedIncarnation,
            engine.service(),
            engine.address(),
            engine.zone(),
            engine.slots(),
            false);
    fixture.apply(new DispatchEvent.TargetChanged(fixture.nowMs(), 11, listed));

    fixture.apply(new DispatchEvent.LeavingAnnounced(fixture.nowMs(), engine, "r0"));

    assertThat(fixture.copies(call)).hasSize(leaves ? 1 : 0);
  }

  @Test
  void movesOtherRunsAndTellsPeersIfFailedAttemptShowsThatEngineHasLeft() {
    joinPeer();
    List<String> runs = Stream.generate(() -> fixture.generate(2_000, 1_000)).limit(8).toList();
    String failing = runs.get(0);
    final String engine = fixture.lastSend(failing).target().id();
    final String sibling =
        runs.stream()
            .skip(1)
            .filter(run -> fixture.lastSend(run).target().id().equals(engine))
            .findFirst()
            .orElseThrow();
    fixture.started(sibling);

    fixture.failed(failing, AttemptFault.WRONG_TARGET, false);
    fixture.tick(100);

    assertThat(fixture.all(DispatchEffect.DropTarget.class))
        .extracting(drop -> drop.target().id())
        .containsExactly(engine);
    assertThat(fixture.copies(sibling)).isNotEmpty();
    assertThat(fixture.copies(failing)).isEmpty();
    assertThat(fixture.lastSend(failing).target().id()).isNotEqualTo(engine);
    assertThat(fixture.all(DispatchEffect.TellPeer.class))
        .anyMatch(tell -> tell.leaving().contains(engine));
  }

  @Test
  void sendsStateToLeavingPeers() {
    joinPeer();
    fixture.apply(
        new MembershipEvent.ProbeReceived(
            fixture.nowMs(),
            "10.0.0.2:1",
            1,
            List.of(new MemberUpdate("10.0.0.2:1", "10.0.0.2:1", "z1", 5, MemberState.LEAVING)),
            SheetStatus.UNKNOWN));
    fixture.generate(1_000, 500);
    fixture.tick(200);

    assertThat(fixture.all(DispatchEffect.TellPeer.class)).isNotEmpty();
  }

  @Test
  void stopsAfterLastCallAndDrainNotice() {
    String call = fixture.call("booking");
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 7_600));
    fixture.delivered(call);
    fixture.tick(3_400);
    assertThat(fixture.all(Effect.Stop.class)).isEmpty();
    fixture.tick(200);

    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"2000, true", "100, false"})
  void refusesStreamThatWouldOutliveDraining(long maxOutput, boolean refused) {
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 5_000));
    String call = fixture.generate(3_000, maxOutput);

    assertThat(fixture.refusal(call).isPresent()).isEqualTo(refused);
    assertThat(fixture.sends(call).isEmpty()).isEqualTo(refused);
    assertThat(fixture.refusal(fixture.call("booking"))).isEmpty();
  }

  @Test
  void abortsRemainingCallsAtDrainDeadline() {
    String started = fixture.generate(1_000, 500);
    fixture.started(started);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 7_600));
    fixture.tick(7_700);

    assertThat(fixture.wasCut(started)).isTrue();
    assertThat(fixture.all(Effect.Stop.class)).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"z0, 0, 100", "z1, 2000, 2300"})
  void returnsRetryAfterForRefusedStreamsWhileDraining(String zone, long minMs, long maxMs) {
    joinPeer(zone);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 7_600));

    assertThat(refusal(fixture.generate(3_000, 8_000)).retryAfterMs()).isBetween(minMs, maxMs);
  }

  @ParameterizedTest
  @CsvSource({"10, false", "5000, false", "5001, true", "39000, true"})
  void admitsOnlyStreamsWhoseDeadlineLiesBeforeTheStopAfterDiscoveryTime(
      long deadlineMs, boolean refused) {
    long stopMs = fixture.nowMs() + 5_000 + DrainAdmission.DISCOVERY_MS;
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), stopMs));
    fixture.tick(DrainAdmission.DISCOVERY_MS);

    String call = fixture.generateWithin(deadlineMs, 70, 10);

    assertThat(fixture.refusal(call).isPresent()).isEqualTo(refused);
    assertThat(fixture.sends(call).isEmpty()).isEqualTo(refused);
  }

  @ParameterizedTest
  @CsvSource({"6700, false", "6900, true"})
  void admitsOnlyPlainCallsWhoseTimeLimitEndsBeforeTheStop(long afterMs, boolean refused) {
    fixture.generate(1_000, 500);
    fixture.apply(new TimeEvent.DrainRequested(fixture.nowMs(), fixture.nowMs() + 7_600));
    fixture.tick(afterMs);

    String call = fixture.call("booking");

    assertThat(fixture.refusal(call).isPresent()).isEqualTo(refused);
    assertThat(fixture.sends(call).isEmpty()).isEqualTo(refused);
  }

  private void joinPeer() {
    joinPeer("z1");
  }

  private void joinPeer(String zone) {
    fixture.apply(
        new PlatformEvent.VmsListed(
            fixture.nowMs(),
            fixture.nowMs(),
            List.of(
                new VmEntry("10.0.0.2:1", VmKind.DAEMON, "10.0.0.2:1", zone, false, List.of()))));
  }

  private Set<String> targetsOf(String call) {
    Set<String> targets = new HashSet<>();
    fixture.sends(call).forEach(send -> targets.add(send.target().id()));
    return targets;
  }

  private DispatchEffect.RefuseCall refusal(String call) {
    return fixture.refusal(call).orElseThrow();
  }
}
