package org.sequoiareach.client.daemons;

import java.util.List;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.client.command.TextTable;

/** Shows the status of every daemon. */
public final class StatusCommand extends AbstractCommand {

  private static final int OK = 200;

  @Override
  public CommandResult run() {
    return new Statuses(new DaemonQuery(settings(), "/status", status -> status == OK).run());
  }

  /** Lists the daemons, one per row. */
  private record Statuses(List<DaemonResponse> daemons) implements CommandResult {

    @Override
    public String text() {
      TextTable table =
          new TextTable("daemon", "zone", "state", "sheet", "requests", "attempts", "version");
      for (DaemonResponse daemon : daemons) {
        table.add(
            daemon.daemon(),
            daemon.field("zone"),
            state(daemon),
            daemon.field("sheetVersion"),
            daemon.field("requestsInProgress"),
            daemon.field("attemptsOwned"),
            daemon.field("version"));
      }
      StringBuilder text = new StringBuilder(table.toString());
      daemons.stream()
          .filter(daemon -> daemon.answer().isEmpty())
          .forEach(daemon -> text.append("\n" + daemon.daemon() + ": " + daemon.problem()));
      return text.toString();
    }

    @Override
    public ExitCode exitCode() {
      long missing = daemons.stream().filter(daemon -> daemon.answer().isEmpty()).count();
      if (missing == 0) {
        return ExitCode.OK;
      }
      return missing == daemons.size() ? ExitCode.UNREACHABLE : ExitCode.FAILED;
    }

    private static String state(DaemonResponse daemon) {
      if (daemon.answer().isEmpty()) {
        return "no response";
      }
      boolean ready = daemon.answer().get().path("ready").asBoolean();
      return ready ? "ready" : "not ready: " + daemon.field("readyReason");
    }
  }
}
