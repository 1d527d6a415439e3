package org.sequoiareach.load.trace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.sequoiareach.load.TestSettings;
import org.sequoiareach.load.settings.Arrivals;
import org.sequoiareach.load.settings.ResumeSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.Targets;

class TraceGeneratorTest {

  @Property(tries = 200, seed = "20261203")
  void generatesSameTraceForSameSeed(
      @ForAll long seed, @ForAll @DoubleRange(min = 0.1, max = 3) double factor) {
    RunSettings settings = settings(seed, factor);

    assertThat(TraceGenerator.generate(settings)).isEqualTo(TraceGenerator.generate(settings));
  }

  @Property(tries = 200, seed = "20261203")
  void loadFactorDoesNotChangeRequestMix(
      @ForAll long seed, @ForAll @DoubleRange(min = 0.1, max = 3) double factor) {
    List<Arrival> baseline = TraceGenerator.generate(settings(seed, 0.1));
    List<Arrival> other = TraceGenerator.generate(settings(seed, factor));

    for (int i = 0; i < Math.min(baseline.size(), other.size()); i++) {
      assertThat(other.get(i))
          .usingRecursiveComparison()
          .ignoringFields("atNs")
          .isEqualTo(baseline.get(i));
    }
  }

  @Property(tries = 200, seed = "20261203")
  void respectsConfiguredBounds(@ForAll long seed) {
    List<Arrival> trace = TraceGenerator.generate(settings(seed, 1));

    assertThat(trace).hasSizeLessThanOrEqualTo(40);
    assertThat(trace).isSortedAccordingTo((a, b) -> Long.compare(a.atNs(), b.atNs()));
    assertThat(trace)
        .allMatch(arrival -> arrival.atNs() < 1_000_000_000L)
        .allMatch(arrival -> arrival.answerTokens() <= 60 && arrival.promptTokens() <= 100)
        .filteredOn(arrival -> arrival.requestClass().name().equals("booking"))
        .allMatch(arrival -> arrival.organisation().name().equals("shop"));
  }

  @Test
  void generatesDifferentTracesForDifferentSeeds() {
    assertThat(TraceGenerator.generate(settings(1, 1)))
        .isNotEqualTo(TraceGenerator.generate(settings(2, 1)));
  }

  @Test
  void matchesConfiguredRateInsideAndOutsideBursts() {
    RunSettings settings =
        new RunSettings(
            "rate",
            7,
            2,
            0,
            100_000,
            1_000_000,
            1,
            200,
            List.of("http://a"),
            Targets.NONE,
            new Arrivals(50, Optional.of(new Arrivals.Burst(10_000, 1_000, 4))),
            List.of(TestSettings.SHOP),
            List.of(TestSettings.lookup()));

    List<Arrival> trace = TraceGenerator.generate(settings);

    long inBurst = trace.stream().filter(a -> a.atNs() / 1_000_000 % 10_000 < 1_000).count();
    // Outside bursts: 90 s at 100 requests/s; in bursts: 10 s at 400 requests/s; within 4 sigma.
    assertThat((double) (trace.size() - inBurst)).isBetween(8_620.0, 9_380.0);
    assertThat((double) inBurst).isBetween(3_740.0, 4_260.0);
  }

  private static RunSettings settings(long seed, double factor) {
    return TestSettings.run(
        seed,
        factor,
        List.of("http://a"),
        Targets.NONE,
        TestSettings.quote(true, new ResumeSettings(0.3, 3, false)),
        TestSettings.booking(),
        TestSettings.lookup());
  }
}
