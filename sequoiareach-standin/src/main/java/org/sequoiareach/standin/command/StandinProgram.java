package org.sequoiareach.standin.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.sequoiareach.standin.server.Addresses;
import org.sequoiareach.standin.server.Standin;

/** Implements the command line of {@code sequoiareach-standin}. Not thread-safe. */
public final class StandinProgram {

  /** The exit code on success. */
  public static final int EXIT_OK = 0;

  /** The exit code if a stand-in could not be started. */
  public static final int EXIT_FAILED = 1;

  /** The exit code for an invalid command line or invalid settings. */
  public static final int EXIT_USAGE = 2;

  private static final String NAME = "sequoiareach-standin";

  private final PrintStream out;
  private final PrintStream err;
  private final List<Standin> started = new ArrayList<>();

  @Option(name = "--help", help = true, usage = "show the commands")
  private boolean help;

  @Option(name = "--version", help = true, usage = "show the version")
  private boolean version;

  @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class)
  @SubCommands({
    @SubCommand(name = "kv", impl = KvCommand.class),
    @SubCommand(name = "vms", impl = VmListCommand.class),
    @SubCommand(name = "engine", impl = EngineCommand.class),
    @SubCommand(name = "service", impl = ServiceCommand.class),
    @SubCommand(name = "relay", impl = RelayCommand.class)
  })
  private StandinCommand command;

  /**
   * Creates a program that writes to the given streams.
   *
   * @param out the stream for addresses and help
   * @param err the stream for errors
   */
  public StandinProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Parses the arguments and starts the stand-ins of the settings file.
   *
   * @param args the command-line arguments
   * @return the exit code; on {@link #EXIT_OK} the stand-ins of {@link #started()} keep running
   */
  public int start(String... args) {
    try {
      new CmdLineParser(this).parseArgument(args);
      if (help || version) {
        out.println(help ? usage() : NAME + " " + version());
        return EXIT_OK;
      }
      return run();
    } catch (CmdLineException | IllegalArgumentException e) {
      err.println(NAME + ": " + e.getMessage());
      return EXIT_USAGE;
    } catch (RuntimeException e) {
      err.println(NAME + ": cannot start: " + e.getMessage());
      close();
      return EXIT_FAILED;
    }
  }

  /**
   * Returns the stand-ins that were started.
   *
   * @return the stand-ins; empty if the arguments only request help, the version or a check
   */
  public List<Standin> started() {
    return Collections.unmodifiableList(started);
  }

  /** Stops all started stand-ins. */
  public void close() {
    started.forEach(Standin::close);
  }

  private int run() throws CmdLineException {
    if (command.help()) {
      out.println(usage());
      return EXIT_OK;
    }
    if (command.settings() == null) {
      err.println(NAME + ": Option \"--settings\" is required");
      return EXIT_USAGE;
    }
    List<Standin> standins = command.createStandins();
    if (command.checkSettings()) {
      out.println("The settings are valid.");
      return EXIT_OK;
    }
    for (Standin standin : standins) {
      started.add(standin);
      out.println("listening on " + Addresses.format(standin.start()));
    }
    return EXIT_OK;
  }

  private static String usage() {
    return String.join(
        System.lineSeparator(),
        "usage: " + NAME + " kv|vms|engine|service|relay --settings FILE",
        "  --settings FILE   the JSON settings",
        "  --check-settings  check the settings and exit",
        "  --help            show this text",
        "  --version         show the version");
  }

  private static String version() {
    String found = StandinProgram.class.getPackage().getImplementationVersion();
    return found == null ? "development" : found;
  }
}
