package org.sequoiareach.load.compare;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Formats a comparison report as Markdown. */
final class MarkdownReport {

  private MarkdownReport() {}

  static String write(ComparisonReport report) {
    StringBuilder text = new StringBuilder();
    append(text, "# %s%n%n", report.name());
    appendSummaries(text, report);
    appendRatios(text, report);
    appendPlots(text);
    return text.toString();
  }

  private static void appendSummaries(StringBuilder text, ComparisonReport report) {
    append(
        text,
        "Sums and means over seeds; gaps between tokens and times to first token in ms.%n%n"
            + "| load | policy | seeds | offered | finished | refused | failed | stall s | stall ms"
            + " per finished | preemptions | gap p50 | gap p99 (least-most) | gap p99.9 | first p50"
            + " | first p99 | tokens/s | violations |%n"
            + "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|%n");
    for (PolicySummary row : report.summaries()) {
      append(
          text,
          "| %.2f | %s | %d | %d | %d | %d | %d | %.1f | %.0f | %d | %.1f | %.1f (%.1f-%.1f) "
              + "| %.1f | %.0f | %.0f | %.0f | %d |%n",
          row.loadFactor(),
          row.policy(),
          row.seeds(),
          row.offered(),
          row.finished(),
          row.refused(),
          row.failed(),
          row.stallSeconds(),
          row.stallMsPerFinished(),
          row.preemptions(),
          row.gapP50Ms(),
          row.gapP99Ms(),
          row.gapP99LeastMs(),
          row.gapP99MostMs(),
          row.gapP999Ms(),
          row.firstTokenP50Ms(),
          row.firstTokenP99Ms(),
          row.tokensPerSecond(),
          row.violations());
    }
  }

  private static void appendRatios(StringBuilder text, ComparisonReport report) {
    append(
        text,
        "%nFirst policy compared with the best other policy, by measure.%n%n"
            + "| load | measure | first policy | best other | its name | other / first |%n"
            + "|---|---|---|---|---|---|%n");
    report.summaries().stream()
        .map(PolicySummary::loadFactor)
        .distinct()
        .forEach(factor -> appendRatiosAt(text, factor, report));
  }

  private static void appendRatiosAt(StringBuilder text, double factor, ComparisonReport report) {
    List<PolicySummary> rows =
        report.summaries().stream().filter(row -> row.loadFactor() == factor).toList();
    for (Measure measure : Measure.values()) {
      Comparator<PolicySummary> order = Comparator.comparingDouble(measure::of);
      Comparator<PolicySummary> bestFirst = measure == Measure.FINISHED ? order.reversed() : order;
      Optional<PolicySummary> best = rows.stream().skip(1).min(bestFirst);
      best.ifPresent(other -> appendRatio(text, measure, rows.get(0), other));
    }
  }

  private static void appendRatio(
      StringBuilder text, Measure measure, PolicySummary first, PolicySummary other) {
    double firstValue = measure.of(first);
    double otherValue = measure.of(other);
    String ratio =
        firstValue == 0 ? "-" : String.format(Locale.ROOT, "%.2f", otherValue / firstValue);
    append(
        text,
        "| %.2f | %s | %.1f | %.1f | %s | %s |%n",
        first.loadFactor(),
        measure.title(),
        firstValue,
        otherValue,
        other.policy(),
        ratio);
  }

  private static void appendPlots(StringBuilder text) {
    for (Measure measure : Measure.values()) {
      append(text, "%n![%s](%s)%n", measure.title(), measure.fileName());
    }
  }

  private static void append(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }
}
