package org.sequoiareach.client.plan;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** The columns of a plan CSV file and the format of their cells. */
enum PlanColumn {
  ORGANISATION(Format.NAME),
  KEY_DIGEST(Format.DIGEST),
  PRIORITY(Format.PRIORITY),
  MODEL(Format.NAME),
  MODEL_VERSION(Format.VERSION),
  CONTEXT_TOKENS(Format.CONTEXT_TOKENS),
  PROMPT_TOKENS_PER_DAY(Format.TOKENS),
  COMPLETION_TOKENS_PER_DAY(Format.TOKENS),
  CONCURRENT_REQUESTS(Format.LIMIT),
  REQUESTS_PER_SECOND(Format.LIMIT),
  SERVICES(Format.NAMES);

  /** The format of the cells of a column; {@code maxValue} is 0 if they are not numeric. */
  private enum Format {
    NAME("[a-z0-9][a-z0-9._-]{0,99}", 0, "a name of a-z, 0-9, '.', '_' and '-'"),
    NAMES("(|[a-z0-9][a-z0-9._-]{0,99}(;[a-z0-9][a-z0-9._-]{0,99})*)", 0, "names joined by ';'"),
    DIGEST("sha256:[0-9a-f]{64}", 0, "'sha256:' and 64 hexadecimal digits"),
    VERSION(".{1,100}", 0, "1 to 100 characters"),
    PRIORITY("[1-9]", 9, "a number from 1 to 9"),
    CONTEXT_TOKENS("[0-9]{1,8}", 10_000_000, "a number from 1 to 10000000"),
    TOKENS("[0-9]{1,15}", 999_999_999_999_999L, "a number from 0 to 999999999999999"),
    LIMIT("[0-9]{1,7}", 1_000_000, "a number from 1 to 1000000");

    private final Pattern pattern;
    private final long maxValue;
    private final String expected;

    Format(String pattern, long maxValue, String expected) {
      this.pattern = Pattern.compile(pattern);
      this.maxValue = maxValue;
      this.expected = expected;
    }
  }

  private final Format format;

  PlanColumn(Format format) {
    this.format = format;
  }

  static List<String> labels() {
    return Arrays.stream(values()).map(PlanColumn::label).toList();
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  String expected() {
    return format.expected;
  }

  boolean accepts(String cell) {
    if (!format.pattern.matcher(cell).matches()) {
      return false;
    }
    if (format.maxValue == 0) {
      return true;
    }
    long minValue = format == Format.TOKENS ? 0 : 1;
    long value = Long.parseLong(cell);
    return value >= minValue && value <= format.maxValue;
  }
}
