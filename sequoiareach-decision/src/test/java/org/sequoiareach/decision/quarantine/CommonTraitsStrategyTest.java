package org.sequoiareach.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.model.quarantine.CrashReport;
import org.sequoiareach.model.quarantine.RequestTraits;

class CommonTraitsStrategyTest {

  private static final String SERVICE = "llm";

  private final CrashHistory crashes = new CrashHistory();
  private final SoundRunHistory soundRuns = new SoundRunHistory();
  private final QuarantineRegistry registry = new QuarantineRegistry();
  private final Evidence evidence = new Evidence("d1", crashes, soundRuns, registry);
  private final SuspicionStrategy strategy = new CommonTraitsStrategy();

  @Test
  void suspectsPartThatWasPresentAtThreeCrashes() {
    crash(1_000, run("shared", "dead"));
    crash(2_000, run("other", "dead"));
    crash(3_000, run("shared", "dead"));
    answerOthers(3);

    assertThat(culprit()).contains(run("dead"));
  }

  @Test
  void suspectsPartsThatAlwaysComeTogetherTogether() {
    crash(1_000, run("shared", "dead"), run("shared", "sound-1"));
    crash(2_000, run("shared", "dead"), run("shared", "sound-2"));
    crash(3_000, run("shared", "dead"), run("shared", "sound-3"));
    answerOthers(4);

    assertThat(culprit()).contains(run("shared", "dead"));
  }

  @Test
  void suspectsNothingAfterTwoCrashes() {
    crash(1_000, run("dead"));
    crash(2_000, run("dead"));
    answerOthers(10);

    assertThat(culprit()).isEmpty();
  }

  @Test
  void countsCrashesAtSameMomentOnce() {
    for (int i = 0; i < 5; i++) {
      crash(1_000 + 10 * i, run("popular"));
    }
    answerOthers(10);

    assertThat(culprit()).isEmpty();
  }

  @Test
  void suspectsNothingWhileNoOtherRequestIsAnswered() {
    crashThreeTimes("popular");
    answerOthers(CommonTraitsStrategy.MIN_OTHER_SOUND_RUNS - 1);

    assertThat(culprit()).isEmpty();
  }

  @Test
  void suspectsNothingWhileMostOtherRequestsAreLostInCrashes() {
    for (int i = 0; i < 3; i++) {
      crash(1_000 + 1_000 * i, run("popular"), run("x" + i), run("y" + i));
    }
    answerOthers(5);

    assertThat(culprit()).isEmpty();
  }

  @Test
  void suspectsNoPartOfRequestThatWasAnsweredSince() {
    crashThreeTimes("popular");
    answerOthers(10);
    soundRuns.add(SERVICE, 1_500, run("popular", "x"));

    assertThat(culprit()).isEmpty();
  }

  @Test
  void suspectsPartAlthoughItWasAnsweredBeforeFirstCrash() {
    soundRuns.add(SERVICE, 900, run("dead", "x"));
    crashThreeTimes("dead");
    answerOthers(10);

    assertThat(culprit()).contains(run("dead"));
  }

  @Test
  void doesNotSuspectCallerAlone() {
    for (int i = 0; i < 4; i++) {
      crash(1_000 + 1_000 * i, run("own-" + i));
    }
    answerOthers(10);

    assertThat(culprit()).isEmpty();
  }

  @Test
  void suspectsNothingElseForCrashesThatQuarantineExplains() {
    crash(1_000, run("shared", "dead"));
    crash(2_000, run("shared", "dead"));
    crash(3_000, run("shared", "dead"));
    answerOthers(4);
    registry.propose(3_100, strategy.findCulprit(evidence).orElseThrow());
    crash(4_000, run("shared", "dead"));
    crash(5_000, run("shared", "sound-1"));

    assertThat(culprit()).isEmpty();
  }

  @Test
  void widensQuarantineThatDoesNotPreventFurtherCrashes() {
    crash(1_000, run("first-1", "dead"));
    crash(2_000, run("first-1", "dead"));
    crash(3_000, run("first-1", "dead"));
    answerOthers(4);
    registry.propose(3_100, strategy.findCulprit(evidence).orElseThrow());
    crash(4_000, run("first-2", "dead"));
    assertThat(culprit()).isEmpty();
    crash(5_000, run("first-3", "dead"));

    assertThat(culprit()).contains(run("dead"));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void takesRequestLikeOneAtCrashOfAnotherTargetForSuspect(boolean answeredSince) {
    crash(1_000, run("shared", "dead"));
    if (answeredSince) {
      soundRuns.add(SERVICE, 1_500, run("shared", "sound"));
    }

    assertThat(strategy.isSuspect(run("shared", "x"), "i-2000", evidence))
        .isEqualTo(!answeredSince);
    assertThat(strategy.isSuspect(run("shared", "x"), "i-1000", evidence)).isFalse();
    assertThat(strategy.isSuspect(run("y"), "i-2000", evidence)).isFalse();
  }

  @Test
  void staysBoundedUnderDistinctRequests() {
    for (int i = 0; i < 10_000; i++) {
      crash(1_000 + 1_000L * i, run("a" + i, "b" + i));
      soundRuns.add(SERVICE, 1_000 + 1_000L * i, run("c" + i));
    }

    assertThat(crashes.reports()).hasSize(CrashHistory.MAX_CRASHES);
    assertThat(soundRuns.countWithout(run("x"), SERVICE, 0)).isEqualTo(SoundRunHistory.MAX_RUNS);
    assertThat(culprit()).isEmpty();
  }

  private Optional<RequestTraits> culprit() {
    return strategy.findCulprit(evidence).map(Suspicion::traits);
  }

  private void crashThreeTimes(String part) {
    crash(1_000, run(part, "x1"));
    crash(2_000, run(part, "x2"));
    crash(3_000, run(part, "x3"));
  }

  private void crash(long atMs, RequestTraits... runs) {
    crashes.add(new CrashReport("i-" + atMs, 1, SERVICE, "d1", atMs, List.of(runs)));
  }

  private void answerOthers(int count) {
    for (int i = 0; i < count; i++) {
      soundRuns.add(SERVICE, 1_100 + i, run("answered-" + i));
    }
  }

  private static RequestTraits run(String... parts) {
    return RequestTraits.of(SERVICE, Optional.of("mill"), Arrays.asList(parts), Optional.empty());
  }
}
