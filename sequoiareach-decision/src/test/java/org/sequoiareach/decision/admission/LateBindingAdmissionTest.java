package org.sequoiareach.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.route.TargetUse;
import org.sequoiareach.model.route.WaitingDemand;

/** Guards the decisions of one daemon on given figures. */
class LateBindingAdmissionTest {

  private static final ServicePace PACE = new ServicePace(7, 6_000);
  private static final EngineLoad IDLE = new EngineLoad(TargetUse.NONE, 24, 27_000);
  private static final EngineLoad FULL = new EngineLoad(new TargetUse(9, 0, 33_000), 24, 27_000);

  private final LateBindingAdmission admission =
      new LateBindingAdmission(new SplittableRandom(1)::nextDouble);

  private static WaitingDemand demand(int priority, int calls) {
    return calls == 0
        ? WaitingDemand.NONE
        : new WaitingDemand(Map.of(priority, new WaitingDemand.Total(calls, 3_750L * calls)));
  }

  private static AdmissionRequest request(
      boolean placeable, EngineLoad engine, int engines, WaitingDemand own, WaitingDemand peers) {
    return new AdmissionRequest(
        WaitingQueueTest.call("c", "a", 1, 0),
        false,
        placeable,
        Collections.nCopies(engines, engine),
        own,
        peers,
        PACE,
        Optional.empty());
  }

  private AdmissionDecision decide(AdmissionRequest request) {
    return admission.decide(0, request);
  }

  /** Guards against calls that are lost at an engine that leaves before they begin. */
  @ParameterizedTest
  @CsvSource({"0, 0, true", "23, 4000, true", "23, 4001, false", "24, 0, false"})
  void acceptsEnginesThatBeginTheCallSoon(int calls, long unread, boolean accepted) {
    EngineLoad engine = new EngineLoad(new TargetUse(calls, unread, 0), 24, 27_000);
    assertThat(admission.accepts(WaitingQueueTest.call("c", "a", 1, 0), engine, PACE))
        .isEqualTo(accepted);
  }

  /** Guards against delays while there is room for all that waits. */
  @ParameterizedTest
  @CsvSource({"0, 0", "1, 3", "0, 4", "2, 50"})
  void sendsAtOnceIfRoomCoversAllThatIsAsUrgent(int priority, int waiting) {
    assertThat(decide(request(true, IDLE, 4, WaitingDemand.NONE, demand(priority, waiting))))
        .isInstanceOf(AdmissionDecision.Send.class);
  }

  /** Guards against a call that takes the room that a more urgent one elsewhere waits for. */
  @Test
  void leavesRoomToMoreUrgentCallsElsewhere() {
    assertThat(decide(request(true, IDLE, 1, WaitingDemand.NONE, demand(0, 30))))
        .isNotInstanceOf(AdmissionDecision.Send.class);
  }

  /** Guards against daemons that all take the same room at the same time. */
  @Property(tries = 50)
  void daemonsTogetherTakeAboutTheRoomThatThereIs(
      @ForAll @IntRange(min = 20, max = 80) int daemons, @ForAll @LongRange(min = 1) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionRequest request = request(true, IDLE, 4, WaitingDemand.NONE, demand(1, daemons - 1));
    long room = new RoomEstimator(admission).callsThatFit(request);
    int sent = 0;
    for (int i = 0; i < daemons; i++) {
      AdmissionStrategy other = new LateBindingAdmission(random::nextDouble);
      sent += other.decide(0, request) instanceof AdmissionDecision.Send ? 1 : 0;
    }
    assertThat((long) sent).isLessThan(room + 4 * (long) Math.ceil(Math.sqrt(room)));
  }

  @Test
  void takesItsShareOnceUntilOthersKnow() {
    AdmissionRequest request = request(true, IDLE, 4, demand(1, 3), demand(1, 12));
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      sent += admission.decide(i, request) instanceof AdmissionDecision.Send ? 1 : 0;
    }
    assertThat(sent).isBetween(1, 3);
  }

  @Test
  void waitsIfRoomIsExpectedInTime() {
    AdmissionDecision decision =
        decide(request(false, FULL, 30, demand(1, 10), WaitingDemand.NONE));
    assertThat(decision).isEqualTo(new AdmissionDecision.Wait(30_000, 250));
  }

  /** Guards against hopeless calls that wait, and against callers that return all at once. */
  @Property(tries = 100)
  void refusesHopelessCallWithReturnTimeThatItsCallerAccepts(
      @ForAll @IntRange(min = 100, max = 5_000) int ahead) {
    AdmissionDecision decision =
        decide(request(false, FULL, 4, WaitingDemand.NONE, demand(0, ahead)));
    assertThat(decision).isInstanceOf(AdmissionDecision.Refuse.class);
    long returnMs = ((AdmissionDecision.Refuse) decision).returnAfterMs().getAsLong();
    assertThat(returnMs).isBetween(6_500L, 13_000L);
  }

  /** Guards against a second refusal of a caller that can still be served late. */
  @ParameterizedTest
  @CsvSource({"false, false", "true, true"})
  void keepsReturnedCallThatCanBeServedBeforeItsDeadline(boolean returned, boolean waits) {
    WaitingCall fresh = WaitingQueueTest.call("c", "a", 1, 0);
    WaitingCall call =
        new WaitingCall(
            "c",
            "s",
            "a",
            1,
            3_000,
            3_750,
            false,
            4_000,
            0,
            fresh.onTimeStartMs(),
            25_000,
            30_000,
            returned);
    AdmissionRequest request =
        new AdmissionRequest(
            call,
            false,
            false,
            List.of(FULL, FULL, FULL, FULL),
            WaitingDemand.NONE,
            demand(1, 40),
            PACE,
            Optional.empty());
    assertThat(decide(request) instanceof AdmissionDecision.Wait).isEqualTo(waits);
  }

  /** Guards against large prompts that are always refused first and so served less often. */
  @Test
  void keepsCallWhosePromptAloneTakesLongerThanTheTarget() {
    WaitingCall call =
        new WaitingCall(
            "c", "s", "a", 1, 30_000, 31_000, false, 4_000, 0, -285, 25_000, 39_000, false);
    AdmissionRequest request =
        new AdmissionRequest(
            call,
            false,
            false,
            List.of(FULL, FULL, FULL, FULL),
            WaitingDemand.NONE,
            WaitingDemand.NONE,
            PACE,
            Optional.empty());
    assertThat(decide(request)).isInstanceOf(AdmissionDecision.Wait.class);
  }

  /** Guards against each daemon taking all engines for itself while no reports arrive. */
  @ParameterizedTest
  @CsvSource({"0, true", "8000, false", "4000, true"})
  void takesNoMoreThanItsShareWhileOthersAreSilent(long ownTokens, boolean sent) {
    AdmissionRequest request =
        new AdmissionRequest(
            WaitingQueueTest.call("c", "a", 1, 0),
            false,
            true,
            Collections.nCopies(4, IDLE),
            WaitingDemand.NONE,
            WaitingDemand.NONE,
            PACE,
            Optional.of(new FleetShare(12, ownTokens)));
    assertThat(decide(request) instanceof AdmissionDecision.Send).isEqualTo(sent);
  }
}
