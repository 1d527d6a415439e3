package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Entry point of the {@code sequoiareach-load} tool. */
public final class LoadMain {

  private static final String NAME = "sequoiareach-load";
  private static final String USAGE =
      """
      Usage: sequoiareach-load run --settings FILE [options]
             sequoiareach-load compare --settings FILE [options]
             sequoiareach-load --help | --version

      Exit codes: 0 success; 1 a guarantee was violated; 2 invalid command line or settings;
      3 a file could not be read or written, or the run was interrupted.
      """;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
  private boolean help;

  @Option(name = "--version", help = true, usage = "show the version")
  private boolean version;

  @Argument(metaVar = "COMMAND", handler = SubCommandHandler.class)
  @SubCommands({
    @SubCommand(name = "run", impl = RunCommand.class),
    @SubCommand(name = "compare", impl = CompareCommand.class)
  })
  private Command command;

  private LoadMain() {}

  /**
   * Runs the program and exits with its exit code.
   *
   * @param args the command line arguments
   */
  public static void main(String[] args) {
    System.exit(execute(args, System.out, System.err));
  }

  static int execute(String[] args, PrintStream out, PrintStream err) {
    LoadMain main = new LoadMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      return main.execute(out, err);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      err.print(USAGE);
      printOptions(err);
      return ExitCodes.USAGE;
    }
  }

  private int execute(PrintStream out, PrintStream err) {
    if (version) {
      out.println(NAME + " " + versionText());
      return ExitCodes.OK;
    }
    if (help) {
      out.print(USAGE);
      printOptions(out);
      return ExitCodes.OK;
    }
    if (command == null) {
      err.print(USAGE);
      return ExitCodes.USAGE;
    }
    return executeCommand(out, err);
  }

  private int executeCommand(PrintStream out, PrintStream err) {
    try {
      return command.execute(out);
    } catch (IllegalArgumentException e) {
      err.println(e.getMessage());
      return ExitCodes.USAGE;
    } catch (IOException e) {
      err.println(e);
      return ExitCodes.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      err.println("interrupted");
      return ExitCodes.FAILED;
    }
  }

  private static void printOptions(PrintStream to) {
    to.println("\nrun:");
    new CmdLineParser(new RunCommand()).printUsage(to);
    to.println("\ncompare:");
    new CmdLineParser(new CompareCommand()).printUsage(to);
  }

  private static String versionText() {
    String implementationVersion = LoadMain.class.getPackage().getImplementationVersion();
    return implementationVersion == null ? "development" : implementationVersion;
  }
}
