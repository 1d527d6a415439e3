package org.sequoiareach.client.sheet;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.CommandFiles;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.Connections;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.model.sheet.Sheet;
import org.sequoiareach.model.sheet.SheetReader;

/** Exports a sheet as the new current version if its base version is still current. */
public final class SheetExportCommand extends AbstractCommand {

  @Argument(metaVar = "FILE", required = true, usage = "the JSON sheet file")
  private Path file;

  @Option(
      name = "--base",
      metaVar = "N",
      usage = "the base version; default: the version in the file; 0 for the first export")
  private Long base;

  @Override
  public CommandResult run() {
    Sheet sheet = CommandFiles.read("sheet", file, SheetReader::read);
    long baseVersion = base == null ? sheet.version() : base;
    if (baseVersion < 0) {
      throw new CommandException(
          ExitCode.USAGE, "--base must not be negative, but is " + baseVersion + ".");
    }
    try (Connections connections = new Connections(settings())) {
      long version =
          Connections.await(
              connections.sheetStore().export(sheet, baseVersion, connections.deadlineMs()));
      return new Exported(version, baseVersion);
    }
  }

  /** The version of the exported sheet and its base version. */
  private record Exported(long version, long baseVersion) implements CommandResult {

    @Override
    public String text() {
      return "The sheet is now current as version " + version + ".";
    }
  }
}
