package org.sequoiareach.load.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class AnswerCheckerTest {

  private static final String END = "END";

  /** Chunks have the form {@code generation|text}; {@code END} stands for the end of the answer. */
  static Stream<Arguments> faultyAnswers() {
    return Stream.of(
        arguments("splice", FaultKind.SPLICED_GENERATIONS, List.of("g1|m:1 ", "g2|m:2 ")),
        arguments("repeat", FaultKind.REPEATED_TOKEN, List.of("g1|m:1 ", "g1|m:1 ")),
        arguments("late", FaultKind.REPEATED_TOKEN, List.of("g1|m:1 m:2 ", "g1|m:1 ")),
        arguments("gap", FaultKind.MISSING_TOKEN, List.of("g1|m:1 ", "g1|m:3 ")),
        arguments("no first", FaultKind.MISSING_TOKEN, List.of("g1|m:2 ")),
        arguments("crossed", FaultKind.CROSSED_ANSWER, List.of("g1|m:1 ", "g1|other:2 ")),
        arguments("early end", FaultKind.INCOMPLETE_ANSWER, List.of("g1|m:1 ", END)),
        arguments("two ends", FaultKind.AFTER_END, List.of("g1|m:1 m:2 m:3 ", END, END)),
        arguments("goes on", FaultKind.AFTER_END, List.of("g1|m:1 m:2 m:3 ", END, "g1|m:4 ")),
        arguments("too long", FaultKind.INCOMPLETE_ANSWER, List.of("g1|m:1 m:2 m:3 m:4 ", END)),
        arguments("no number", FaultKind.MALFORMED, List.of("g1|hello ")),
        arguments("number 0", FaultKind.MALFORMED, List.of("g1|m:0 ")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultyAnswers")
  void detectsFault(String name, FaultKind kind, List<String> chunks) {
    AnswerChecker checker = new AnswerChecker("m", 3);

    feed(checker, chunks);

    assertThat(checker.faults()).extracting(Fault::kind).containsExactly(kind);
  }

  @Property(tries = 200, seed = "20261203")
  void acceptsCompleteAnswers(
      @ForAll @IntRange(min = 1, max = 200) int tokens,
      @ForAll @IntRange(min = 1, max = 7) int chunkSize) {
    AnswerChecker checker = new AnswerChecker("m:x", tokens);
    StringBuilder chunk = new StringBuilder();
    for (int i = 1; i <= tokens; i++) {
      chunk.append("m:x:").append(i).append(' ');
      if (i % chunkSize == 0 || i == tokens) {
        checker.onText("g", chunk.toString());
        chunk.setLength(0);
      }
    }
    checker.onFinish();

    assertThat(checker.faults()).isEmpty();
    assertThat(checker.tokens()).isEqualTo(tokens);
    assertThat(checker.finished()).isTrue();
  }

  @ParameterizedTest
  @MethodSource("unfinished")
  void doesNotReportUnfinishedAnswerAsFinished(List<String> chunks) {
    AnswerChecker checker = new AnswerChecker("m", 3);

    feed(checker, chunks);

    assertThat(checker.finished()).isFalse();
    assertThat(checker.faults()).isEmpty();
  }

  static Stream<List<String>> unfinished() {
    return Stream.of(List.of(), List.of("g1|m:1 "), List.of("g1|m:1 ", "g1|m:2 m:3 "));
  }

  private static void feed(AnswerChecker checker, List<String> chunks) {
    for (String chunk : chunks) {
      if (chunk.equals(END)) {
        checker.onFinish();
      } else {
        String[] parts = chunk.split("\\|");
        checker.onText(parts[0], parts[1]);
      }
    }
  }
}
