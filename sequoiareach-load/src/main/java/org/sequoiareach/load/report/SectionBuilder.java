package org.sequoiareach.load.report;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations.GenerationSeen;

/** Adds up requests to a section of the report. Not thread-safe. */
final class SectionBuilder {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long stallThresholdNs;
  private final Map<String, Integer> reasons = new TreeMap<>();
  private final int[] endings = new int[Ending.values().length];
  private final TimeHistogram firstToken = new TimeHistogram();
  private final TimeHistogram tokenGap = new TimeHistogram();
  private final TimeHistogram answer = new TimeHistogram();

  private int withoutRetryAfter;
  private long tokens;
  private long stallNs;
  private long finishedStallNs;
  private int stalledAnswers;
  private long preemptions;
  private long repeatedGenerations;

  SectionBuilder(long stallThresholdNs) {
    this.stallThresholdNs = stallThresholdNs;
  }

  void add(RequestResult result, Optional<GenerationSeen> seen) {
    addEnding(result);
    addTimings(result);
    tokens += result.tokens();
    seen.ifPresent(
        generation -> {
          preemptions += generation.preemptions();
          repeatedGenerations += generation.generations() - 1;
        });
  }

  Section build(long elapsedNs) {
    int finished = count(Ending.FINISHED);
    return new Section(
        finished + count(Ending.REFUSED) + count(Ending.FAILED),
        finished,
        count(Ending.REFUSED),
        count(Ending.FAILED),
        reasons,
        withoutRetryAfter,
        tokens,
        tokens * NANOS_PER_SECOND / Math.max(1, elapsedNs),
        firstToken.percentiles(),
        tokenGap.percentiles(),
        answer.percentiles(),
        stallNs / NANOS_PER_MILLI,
        finished == 0 ? 0 : finishedStallNs / NANOS_PER_MILLI / finished,
        stalledAnswers,
        preemptions,
        repeatedGenerations);
  }

  private void addEnding(RequestResult result) {
    endings[result.ending().ordinal()]++;
    if (result.ending() == Ending.FINISHED) {
      answer.record(result.timings().endNs());
      return;
    }
    reasons.merge(result.ending().label() + ": " + result.reason(), 1, Integer::sum);
    if (result.ending() == Ending.REFUSED && !result.retryAfter()) {
      withoutRetryAfter++;
    }
  }

  private void addTimings(RequestResult result) {
    result.timings().firstTokenNs().ifPresent(firstToken::record);
    for (long gap : result.timings().gapsNs()) {
      tokenGap.record(gap);
    }
    long stall = result.timings().stallNs(stallThresholdNs);
    stallNs += stall;
    if (stall > 0) {
      stalledAnswers++;
    }
    if (result.ending() == Ending.FINISHED) {
      finishedStallNs += stall;
    }
  }

  private int count(Ending ending) {
    return endings[ending.ordinal()];
  }
}
