package org.sequoiareach.client.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;
import org.kohsuke.args4j.Argument;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.ExitCode;

/** Shows the decisions that daemons made for a request. */
public final class ExplainCommand extends AbstractCommand {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  @Argument(metaVar = "REQUEST_ID", required = true, usage = "the id of the request")
  private String requestId;

  @Override
  public CommandResult run() {
    String path = "/explain/" + URLEncoder.encode(requestId, StandardCharsets.UTF_8);
    List<DaemonResponse> answers =
        new DaemonQuery(settings(), path, status -> status == OK || status == NOT_FOUND).run();
    return new Explanation(requestId, answers);
  }

  /** Lists one decision per line, and the daemons that did not respond. */
  private record Explanation(String requestId, List<DaemonResponse> daemons)
      implements CommandResult {

    @Override
    public String text() {
      StringJoiner lines = new StringJoiner("\n");
      for (DaemonResponse daemon : daemons) {
        if (daemon.answer().isEmpty()) {
          lines.add(daemon.daemon() + " did not respond: " + daemon.problem());
          continue;
        }
        daemon.answer().get().forEach(decision -> lines.add(formatDecision(daemon, decision)));
      }
      if (!isFound()) {
        lines.add("No daemon that responded has a decision for request " + requestId + ".");
      }
      return lines.toString();
    }

    @Override
    public ExitCode exitCode() {
      if (isFound()) {
        return ExitCode.OK;
      }
      boolean unreachable = daemons.stream().allMatch(daemon -> daemon.answer().isEmpty());
      return unreachable ? ExitCode.UNREACHABLE : ExitCode.FAILED;
    }

    private boolean isFound() {
      return daemons.stream()
          .anyMatch(daemon -> daemon.answer().filter(node -> !node.isEmpty()).isPresent());
    }

    private static String formatDecision(DaemonResponse daemon, JsonNode decision) {
      StringJoiner losers = new StringJoiner(" ", " losers: ", "").setEmptyValue("");
      decision.path("losers").forEach(loser -> losers.add(loser.asText()));
      return daemon.daemon()
          + " "
          + decision.path("decision").asText("?")
          + " target="
          + decision.path("targetId").asText("")
          + " sheet="
          + decision.path("sheetVersion").asText("?")
          + ": "
          + decision.path("reason").asText("")
          + losers;
    }
  }
}
