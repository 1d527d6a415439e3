package org.sequoiareach.client.command;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.settings.ClientSettings;
import org.sequoiareach.client.settings.ClientSettingsReader;

/**
 * Base class of commands with the options common to all of them. An instance runs a single command
 * line.
 */
public abstract class AbstractCommand {

  @Option(name = "--settings", metaVar = "FILE", usage = "the JSON settings file")
  private Path settingsFile;

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  @Option(name = "--help", help = true, usage = "print the options of this command")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version")
  private boolean version;

  /**
   * Runs the command.
   *
   * @return the result
   * @throws CommandException if the command fails
   */
  public abstract CommandResult run();

  /**
   * Returns whether to print the result as JSON.
   *
   * @return true for JSON
   */
  public final boolean json() {
    return json;
  }

  /**
   * Returns whether to print only the help text.
   *
   * @return true for help
   */
  public final boolean help() {
    return help;
  }

  /**
   * Returns whether to print only the version.
   *
   * @return true for the version
   */
  public final boolean version() {
    return version;
  }

  /**
   * Reads the settings.
   *
   * @return the settings
   * @throws CommandException if no settings file is given or it is invalid
   */
  protected final ClientSettings settings() {
    if (settingsFile == null) {
      throw new CommandException(ExitCode.USAGE, "This command requires --settings FILE.");
    }
    return CommandFiles.read("settings file", settingsFile, ClientSettingsReader::parse);
  }
}
