package org.sequoiareach.standin.command;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.kohsuke.args4j.Option;
import org.sequoiareach.standin.server.Standin;

/** Base class of the subcommands, with their common options. */
abstract class StandinCommand {

  @Option(name = "--settings", metaVar = "FILE", usage = "the JSON settings")
  private Path settings;

  @Option(name = "--check-settings", usage = "check the settings and exit")
  private boolean checkSettings;

  @Option(name = "--help", help = true, usage = "show the options")
  private boolean help;

  Path settings() {
    return settings;
  }

  boolean checkSettings() {
    return checkSettings;
  }

  boolean help() {
    return help;
  }

  /**
   * Creates the stand-ins that the settings describe.
   *
   * @throws IllegalArgumentException if the settings are invalid
   */
  abstract List<Standin> createStandins();

  /** Reads the settings file and creates a single stand-in from it. */
  final <T> List<Standin> createSingle(Class<T> type, Function<T, Standin> factory) {
    return List.of(factory.apply(SettingsFile.read(settings, type)));
  }
}
