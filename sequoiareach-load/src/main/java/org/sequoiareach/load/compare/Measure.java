package org.sequoiareach.load.compare;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** The measures that are plotted and compared between policies. */
enum Measure {
  STALL("Stall time", "s", PolicySummary::stallSeconds),
  PREEMPTIONS("Preemptions", "number", PolicySummary::preemptions),
  GAP_P99("Time between tokens, p99", "ms", PolicySummary::gapP99Ms),
  GAP_P999("Time between tokens, p99.9", "ms", PolicySummary::gapP999Ms),
  FIRST_TOKEN_P99("Time to first token, p99", "ms", PolicySummary::firstTokenP99Ms),
  FINISHED("Finished answers", "number", PolicySummary::finished);

  private final String title;
  private final String unit;
  private final ToDoubleFunction<PolicySummary> value;

  Measure(String title, String unit, ToDoubleFunction<PolicySummary> value) {
    this.title = title;
    this.unit = unit;
    this.value = value;
  }

  String title() {
    return title;
  }

  String unit() {
    return unit;
  }

  double of(PolicySummary summary) {
    return value.applyAsDouble(summary);
  }

  /** Returns the file name of the plot. */
  String fileName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-') + ".png";
  }
}
