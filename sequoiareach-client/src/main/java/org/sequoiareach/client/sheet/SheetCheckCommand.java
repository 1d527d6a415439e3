package org.sequoiareach.client.sheet;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandFiles;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Validates a sheet file and reports all invalid fields. */
public final class SheetCheckCommand extends AbstractCommand {

  @Argument(metaVar = "FILE", required = true, usage = "the JSON sheet file")
  private Path file;

  @Override
  public CommandResult run() {
    Sheet sheet = CommandFiles.read("sheet", file, SheetReader::read);
    return new Checked(
        sheet.models().size(), sheet.services().size(), sheet.organisations().size());
  }

  /** The number of entries in a valid sheet. */
  private record Checked(int models, int services, int organisations) implements CommandResult {

    @Override
    public String text() {
      return "The sheet is valid: "
          + models
          + " models, "
          + services
          + " services, "
          + organisations
          + " organisations.";
    }
  }
}
