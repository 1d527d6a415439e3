package org.sequoiareach.client.sheet;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Documents;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Checks a sheet file and names every wrong field. */
public final class SheetCheckCommand extends AbstractCommand {

  @Argument(metaVar = "FILE", required = true, usage = "the JSON file of the sheet")
  private Path file;

  @Override
  public CommandResult run() {
    Sheet sheet = Documents.read("sheet", file, SheetReader::read);
    return new Checked(
        sheet.models().size(), sheet.services().size(), sheet.organisations().size());
  }

  /** Tells what a right sheet holds. */
  private record Checked(int models, int services, int organisations) implements CommandResult {

    @Override
    public String text() {
      return "The sheet is right: "
          + models
          + " models, "
          + services
          + " services, "
          + organisations
          + " organisations.";
    }
  }
}
