package org.sequoiareach.decision.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiareach.decision.effect.Effect;
import org.sequoiareach.decision.group.GroupReducer;
import org.sequoiareach.decision.group.GroupSettings;
import org.sequoiareach.decision.json.DecisionJson;
import org.sequoiareach.decision.membership.MembershipSettings;
import org.sequoiareach.decision.placement.PassThroughAdmission;
import org.sequoiareach.decision.reducer.DecisionReducer;
import org.sequoiareach.decision.reducer.ReducerSettings;
import org.sequoiareach.decision.routing.LeastOutstandingRouting;
import org.sequoiareach.decision.sheet.SheetGuardSettings;

/**
 * Replays whole sessions: each line with an event is applied, and the lines with effects that
 * follow it must be what the reducer answers. Run with {@code -Dgolden.update=true} to write the
 * effects anew; the difference is then read by a person.
 */
class GoldenSessionTest {

  private static final Path SESSIONS = Path.of("src/test/resources/sessions");

  @ParameterizedTest
  @ValueSource(
      strings = {
        "streamed-answer",
        "refused-for-limits",
        "engine-dies-before-first-token",
        "engine-dies-after-first-token",
        "booking",
        "booking-without-key-value-service",
        "sheet-changed-in-mid-stream",
        "target-leaves",
        "process-paused",
        "plan-spent",
        "planned-stop",
      })
  void replays(String session) throws IOException {
    Path file = SESSIONS.resolve(session + ".jsonl");
    List<String> expected = Files.readAllLines(file);
    List<String> replayed = replay(expected);
    if (Boolean.getBoolean("golden.update")) {
      Files.write(file, replayed);
    }
    assertThat(replayed).isEqualTo(expected);
  }

  private static List<String> replay(List<String> lines) {
    DecisionReducer reducer = createReducer();
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

  private static GroupReducer group() {
    return new GroupReducer(
        new GroupSettings(
            new MembershipSettings("d1", "127.0.0.1:1", "zone-a", 1, 1),
            new SheetGuardSettings("d1", SheetGuardSettings.DEFAULT_BOUND_MS, 2_000, 1)));
  }

  private static DecisionReducer createReducer() {
    return new DecisionReducer(
        ReducerSettings.usual("d1", "d1-1", "zone-a", 1),
        group(),
        new LeastOutstandingRouting(),
        new LeastOutstandingRouting(),
        PassThroughAdmission::new);
  }
}
