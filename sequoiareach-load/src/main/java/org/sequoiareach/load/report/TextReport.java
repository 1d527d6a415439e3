package org.sequoiareach.load.report;

import java.util.Locale;
import java.util.Map;

/** Formats a run report as human-readable text. */
public final class TextReport {

  private static final int MAX_SHOWN_VIOLATIONS = 50;
  private static final String ROW =
      "%-24s %7d %8d %7d %6d %9d %8.1f %9.1f %9.1f %9.1f %9.1f %9.1f %9.1f %10.1f %6d%n";
  private static final String HEADER =
      "%-24s %7s %8s %7s %6s %9s %8s %9s %9s %9s %9s %9s %9s %10s %6s%n";

  private TextReport() {}

  /**
   * Formats a report.
   *
   * @param report the report
   * @return the text, with a line break at the end
   */
  public static String write(RunReport report) {
    StringBuilder text = new StringBuilder();
    append(
        text,
        "%s: seed %d, load factor %.2f, %d requests offered, %d not ended, %.1f s%n",
        report.name(),
        report.seed(),
        report.loadFactor(),
        report.offered(),
        report.unended(),
        report.elapsedMs() / 1000);
    append(text, "latest send %.2f ms after its scheduled time%n%n", report.latestSendMs());
    appendHeader(text);
    appendRow(text, "all", report.total());
    report.classes().forEach((name, section) -> appendRow(text, name, section));
    report.organisations().forEach((name, section) -> appendRow(text, "@" + name, section));
    appendReasons(text, report.total().reasons());
    appendChecks(text, report);
    return text.toString();
  }

  private static void appendHeader(StringBuilder text) {
    append(
        text,
        HEADER,
        "times in ms",
        "ended",
        "finished",
        "refused",
        "failed",
        "tokens",
        "tok/s",
        "first50",
        "first99",
        "gap50",
        "gap95",
        "gap99",
        "gap99.9",
        "stall",
        "preem");
  }

  private static void appendRow(StringBuilder text, String name, Section section) {
    append(
        text,
        ROW,
        name,
        section.requests(),
        section.finished(),
        section.refused(),
        section.failed(),
        section.tokens(),
        section.tokensPerSecond(),
        section.firstToken().p50Ms(),
        section.firstToken().p99Ms(),
        section.tokenGap().p50Ms(),
        section.tokenGap().p95Ms(),
        section.tokenGap().p99Ms(),
        section.tokenGap().p999Ms(),
        section.stallMs(),
        section.preemptions());
  }

  private static void appendReasons(StringBuilder text, Map<String, Integer> reasons) {
    reasons.forEach((reason, count) -> append(text, "%n%7d %s", count, reason));
    append(text, "%n");
  }

  private static void appendChecks(StringBuilder text, RunReport report) {
    if (!report.recordsCompared()) {
      append(text, "target records were not checked%n");
    }
    report
        .missingRecords()
        .forEach(
            target ->
                append(
                    text,
                    "record of target %s could not be fetched and was not checked%n",
                    target));
    append(text, "%d violations%n", report.violations().size());
    report.violations().stream()
        .limit(MAX_SHOWN_VIOLATIONS)
        .forEach(violation -> append(text, "violation: %s%n", violation));
  }

  private static void append(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }
}
