package org.sequoiareach.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiareach.model.quarantine.Quarantine;
import org.sequoiareach.model.quarantine.RequestTraits;

class QuarantineRegistryTest {

  private static final long NOW_MS = 1_000_000;
  private static final long IN_FORCE_MS = NOW_MS + Quarantine.OBJECTION_MS;
  private static final RequestTraits DEAD = traits("dead");
  private static final OptionalLong NEVER = OptionalLong.empty();

  private final QuarantineRegistry registry = new QuarantineRegistry();

  @Test
  void appliesToRequestsWithAllTraitsAfterTimeForObjections() {
    propose(registry, NOW_MS, traits("shared", "dead"));

    assertThat(registry.findInForce(IN_FORCE_MS - 1, traits("shared", "dead", "x"))).isEmpty();
    assertThat(registry.findInForce(IN_FORCE_MS, traits("shared", "dead", "x"))).isPresent();
    assertThat(registry.findInForce(IN_FORCE_MS, traits("shared", "x"))).isEmpty();
    assertThat(registry.findInForce(IN_FORCE_MS, traits("dead", "x"))).isEmpty();
  }

  @Test
  void appliesNoLongerOnceItIsLifted() {
    Quarantine proposed = propose(registry, NOW_MS, DEAD);

    registry.lift(NOW_MS + 10, proposed);

    assertThat(registry.findInForce(IN_FORCE_MS, DEAD)).isEmpty();
  }

  @Test
  void isNotRestoredByDaemonThatMissedItsLift() {
    Quarantine proposed = propose(registry, NOW_MS, DEAD);
    registry.lift(NOW_MS + 10, proposed);

    registry.merge(NOW_MS + 20, proposed.matchedAt(NOW_MS + 15));

    assertThat(registry.findInForce(IN_FORCE_MS, DEAD)).isEmpty();
  }

  @Test
  void isRestoredByLaterProposal() {
    registry.lift(NOW_MS + 10, propose(registry, NOW_MS, DEAD));
    Quarantine later = propose(new QuarantineRegistry(), NOW_MS + 5_000, DEAD);

    assertThat(registry.merge(NOW_MS + 5_001, later)).isPresent();

    assertThat(registry.findInForce(NOW_MS + 6_000, DEAD)).isPresent();
  }

  @Test
  void learnsOfNewLiftedAndTriedQuarantinesOnce() {
    QuarantineRegistry other = new QuarantineRegistry();
    Quarantine proposed = propose(other, NOW_MS, DEAD);
    assertThat(registry.merge(NOW_MS, proposed)).isPresent();
    assertThat(registry.merge(NOW_MS + 1, proposed.matchedAt(NOW_MS + 1))).isEmpty();

    Quarantine tried = other.startTrial(NOW_MS + 70_000, proposed);
    assertThat(registry.merge(NOW_MS + 70_001, tried)).isPresent();
    assertThat(registry.merge(NOW_MS + 70_002, tried)).isEmpty();

    Quarantine lifted = other.lift(NOW_MS + 70_100, tried);
    assertThat(registry.merge(NOW_MS + 70_101, lifted)).isPresent();
    assertThat(registry.merge(NOW_MS + 70_102, lifted)).isEmpty();
  }

  @Test
  void lapsesOnlyWithoutMatchingRequests() {
    Quarantine proposed = propose(registry, NOW_MS, DEAD);
    registry.recordMatch(NOW_MS + 100_000, proposed);

    assertThat(registry.expire(NOW_MS + QuarantineRegistry.LAPSE_MS + 1)).isEmpty();
    assertThat(registry.expire(NOW_MS + 100_001 + QuarantineRegistry.LAPSE_MS)).hasSize(1);
    assertThat(registry.all()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"0, 120000", "1, 240000", "3, 960000", "9, 3600000", "50, 3600000"})
  void doublesTimeToNextTrial(int trialsBefore, long expectedMs) {
    Quarantine tried = propose(registry, NOW_MS, DEAD);
    for (int i = 0; i <= trialsBefore; i++) {
      tried = registry.startTrial(NOW_MS, tried);
    }

    assertThat(tried.trialAtMs() - NOW_MS).isEqualTo(expectedMs);
    assertThat(tried.trials()).isEqualTo(trialsBefore + 1);
  }

  @Test
  void holdsBoundedNumberOfQuarantines() {
    for (int i = 0; i < 10_000; i++) {
      propose(registry, NOW_MS + i, traits("dead-" + i));
    }

    assertThat(registry.all()).hasSize(QuarantineRegistry.MAX_QUARANTINES);
    assertThat(registry.findInForce(NOW_MS + 20_000, traits("dead-9999"))).isPresent();
  }

  @Property(tries = 500, seed = "20261204")
  void mergesKnowledgeInAnyOrderToTheSame(
      @ForAll("known") Quarantine one, @ForAll("known") Quarantine other) {
    assertThat(one.mergedWith(other)).isEqualTo(other.mergedWith(one));
    assertThat(one.mergedWith(other).mergedWith(other)).isEqualTo(one.mergedWith(other));
    assertThat(one.mergedWith(one)).isEqualTo(one);
  }

  @Provide
  Arbitrary<Quarantine> known() {
    Arbitrary<Long> times = Arbitraries.longs().between(NOW_MS, NOW_MS + 9);
    Arbitrary<Integer> counts = Arbitraries.integers().between(1, 4);
    Arbitrary<OptionalLong> lifts =
        times.map(OptionalLong::of).injectNull(0.5).map(at -> at == null ? NEVER : at);
    return Combinators.combine(counts, times, times, times, times, counts, lifts)
        .as(
            (crashes, since, proposed, matched, trial, trials, lifted) ->
                new Quarantine(DEAD, crashes, since, proposed, matched, trial, trials, lifted));
  }

  private static Quarantine propose(QuarantineRegistry to, long nowMs, RequestTraits traits) {
    return to.propose(nowMs, new Suspicion(traits, 3, nowMs - 2_000, 0, 5, 0));
  }

  private static RequestTraits traits(String... parts) {
    return RequestTraits.of("llm", Optional.of("mill"), List.of(parts), Optional.empty());
  }
}
