package org.sequoiareach.load.report;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiareach.load.check.Ending;
import org.sequoiareach.load.check.RequestResult;
import org.sequoiareach.load.check.TargetObservations.GenerationCounts;

/** Accumulates request results into a report section. Not thread-safe. */
final class SectionBuilder {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long stallThresholdNs;
  private final Map<String, Integer> reasons = new TreeMap<>();
  private final int[] endings = new int[Ending.values().length];
  private final TimeHistogram firstToken = new TimeHistogram();
  private final TimeHistogram tokenGap = new TimeHistogram();
  private final TimeHistogram answer = new TimeHistogram();

  private int refusedWithoutRetryAfter;
  private long tokens;
  private long stallNs;
  private long finishedStallNs;
  private int stalledAnswers;
  private long preemptions;
  private long repeatedGenerations;

  SectionBuilder(long stallThresholdNs) {
    this.stallThresholdNs = stallThresholdNs;
  }

  void add(RequestResult result, Optional<GenerationCounts> counts) {
    addEnding(result);
    addTimings(result);
    tokens += result.tokens();
    counts.ifPresent(
        generation -> {
          preemptions += generation.preemptions();
          repeatedGenerations += generation.generations() - 1;
        });
  }

  Section build(long elapsedNs) {
    int finished = countOf(Ending.FINISHED);
    return new Section(
        finished + countOf(Ending.REFUSED) + countOf(Ending.FAILED),
        finished,
        countOf(Ending.REFUSED),
        countOf(Ending.FAILED),
        reasons,
        refusedWithoutRetryAfter,
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
      refusedWithoutRetryAfter++;
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

  private int countOf(Ending ending) {
    return endings[ending.ordinal()];
  }
}
