package org.sequoiareach.client.sheet;

import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.CommandFiles;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Connections;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.client.command.JsonText;
import org.sequoiareach.client.command.TextTable;
import org.sequoiareach.model.sheet.OrganisationEntry;
import org.sequoiareach.model.sheet.Sheet;

/** Shows the current sheet. */
public final class SheetShowCommand extends AbstractCommand {

  @Option(name = "--out", metaVar = "FILE", usage = "also write the sheet to a new JSON file")
  private Path out;

  @Override
  public CommandResult run() {
    try (Connections connections = new Connections(settings())) {
      Sheet sheet =
          Connections.await(
                  connections.sheetStore().findCurrent(Optional.empty(), connections.deadlineMs()))
              .orElseThrow(
                  () -> new CommandException(ExitCode.FAILED, "No sheet has been exported yet."));
      if (out != null) {
        CommandFiles.write(out, JsonText.of(sheet) + "\n");
      }
      return new Shown(sheet);
    }
  }

  /** A sheet, whose JSON form can be exported again. */
  private record Shown(@JsonValue Sheet sheet) implements CommandResult {

    @Override
    public String text() {
      TextTable table =
          new TextTable("organisation", "priority", "prompt/day", "completion/day", "models");
      for (OrganisationEntry organisation : sheet.organisations()) {
        table.add(
            organisation.id(),
            organisation.priority(),
            organisation.plan().promptTokensPerDay(),
            organisation.plan().completionTokensPerDay(),
            String.join(",", organisation.models()));
      }
      return "Version " + sheet.version() + " is current.\n" + table;
    }
  }
}
