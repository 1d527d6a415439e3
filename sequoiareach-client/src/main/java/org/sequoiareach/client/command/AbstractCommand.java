package org.sequoiareach.client.command;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.sequoiareach.client.settings.ClientSettings;
import org.sequoiareach.client.settings.ClientSettingsReader;

/** Holds the options that every command takes. One object runs one command line. */
public abstract class AbstractCommand {

  @Option(name = "--settings", metaVar = "FILE", usage = "the JSON file of settings")
  private Path settingsFile;

  @Option(name = "--json", usage = "print JSON for programs")
  private boolean json;

  @Option(name = "--help", help = true, usage = "print the options of this command")
  private boolean help;

  @Option(name = "--version", help = true, usage = "print the version")
  private boolean version;

  /**
   * Runs the command.
   *
   * @return what it found
   * @throws CommandException if it failed
   */
  public abstract CommandResult run();

  /**
   * Tells whether JSON is asked for.
   *
   * @return true for JSON
   */
  public final boolean json() {
    return json;
  }

  /**
   * Tells whether only help is asked for.
   *
   * @return true for help
   */
  public final boolean help() {
    return help;
  }

  /**
   * Tells whether only the version is asked for.
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
   * @throws CommandException if none are named or they are wrong
   */
  protected final ClientSettings settings() {
    if (settingsFile == null) {
      throw new CommandException(ExitCode.USAGE, "This command needs --settings FILE.");
    }
    return Documents.read("settings file", settingsFile, ClientSettingsReader::parse);
  }
}
