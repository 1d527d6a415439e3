package org.sequoiareach.decision.dispatch;

import java.util.Locale;
import org.sequoiareach.decision.speed.EngineLoad;
import org.sequoiareach.decision.speed.EngineSlowness;
import org.sequoiareach.decision.speed.StepTimeEstimator;
import org.sequoiareach.model.route.EngineTraits;

/** Forecasts the first event of a run on an engine and the gaps between its events. */
final class GapForecast {

  /** A run of more events is long: it meets prefills and slow spells of its engine. */
  private static final long MAX_SHORT_EVENTS = 8;

  private final StepTimeEstimator steps;

  GapForecast(StepTimeEstimator steps) {
    this.steps = steps;
  }

  /** Returns whether a call is a generation that is expected to have many events. */
  static boolean isLong(GenerationDemand demand, int tokensPerEvent) {
    return demand.estimatedOutputTokens() > MAX_SHORT_EVENTS * tokensPerEvent;
  }

  /**
   * Returns the expected gap between events with one more run on a candidate, in milliseconds.
   *
   * @param prefilling whether prompts are prefilled between the steps
   */
  long gapMs(Candidate candidate, boolean prefilling) {
    EngineLoad load = new EngineLoad(candidate.use().calls() + 1, prefilling ? 1 : 0);
    return Math.round(
        slownessOf(candidate).decode() * steps.stepMs(load) * tokensPerEvent(candidate));
  }

  /** Returns the expected time to the first event of a run on a candidate, in milliseconds. */
  long firstEventMs(Candidate candidate, GenerationDemand demand) {
    long tokens = candidate.use().waitingPromptTokens() + demand.promptTokens();
    return Math.round(slownessOf(candidate).prefill() * steps.prefillMs(tokens));
  }

  /** Describes what is expected of a candidate, for the decision log; empty if it is unknown. */
  String describe(Candidate candidate) {
    return candidate
        .slowness()
        .map(
            known ->
                String.format(
                    Locale.ROOT,
                    " slowness=%.2f gap=%dms",
                    known.relative(),
                    gapMs(candidate, true)))
        .orElse("");
  }

  static int tokensPerEvent(Candidate candidate) {
    return candidate.engine().map(EngineTraits::tokensPerEvent).orElse(1);
  }

  private static EngineSlowness slownessOf(Candidate candidate) {
    return candidate.slowness().orElse(EngineSlowness.UNKNOWN);
  }
}
