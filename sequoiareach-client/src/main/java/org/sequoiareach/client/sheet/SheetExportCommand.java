package org.sequoiareach.client.sheet;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Connections;
import org.sequoiareach.client.command.Documents;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Exports a sheet on top of the version it was based on. */
public final class SheetExportCommand extends AbstractCommand {

  @Argument(metaVar = "FILE", required = true, usage = "the JSON file of the sheet")
  private Path file;

  @Option(
      name = "--base",
      metaVar = "N",
      usage = "the version the sheet was based on; otherwise the one in the file; 0 for the first")
  private Long base;

  @Override
  public CommandResult run() {
    Sheet sheet = Documents.read("sheet", file, SheetReader::read);
    long baseVersion = base == null ? sheet.version() : base;
    if (baseVersion < 0) {
      throw new CommandException(ExitCode.USAGE, "--base must not be negative.");
    }
    try (Connections connections = new Connections(settings())) {
      long version =
          Connections.await(
              connections.sheets().export(sheet, baseVersion, connections.deadlineMs()));
      return new Exported(version, baseVersion);
    }
  }

  /** Tells which version the sheet became. */
  private record Exported(long version, long baseVersion) implements CommandResult {

    @Override
    public String text() {
      return "The sheet is in force as version " + version + ".";
    }
  }
}
