package org.sequoiareach.decision.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.event.Event;
import org.sequoiareach.decision.json.DecisionJson;

/**
 * Replays a golden file: applies each event and compares the resulting effects with the lines that
 * follow it. Run with {@code -Dgolden.update=true} to rewrite the effects, and review the diff
 * before committing it.
 */
final class GoldenSession {

  private static final Path SESSIONS = Path.of("src/test/resources/sessions");

  private GoldenSession() {}

  static void check(String session, Function<Event, List<Effect>> reducer) throws IOException {
    Path file = SESSIONS.resolve(session + ".jsonl");
    List<String> expected = Files.readAllLines(file);
    List<String> replayed = replay(expected, reducer);
    if (Boolean.getBoolean("golden.update")) {
      Files.write(file, replayed);
    }
    assertThat(replayed).isEqualTo(expected);
  }

  private static List<String> replay(List<String> lines, Function<Event, List<Effect>> reducer) {
    List<String> replayed = new ArrayList<>();
    for (String line : lines) {
      if (line.startsWith("{\"effect\"")) {
        continue;
      }
      replayed.add(line);
      for (Effect effect : reducer.apply(DecisionJson.readEvent(line))) {
        replayed.add(DecisionJson.write(effect));
      }
    }
    return replayed;
  }
}
