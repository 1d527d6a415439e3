package org.sequoiareach.client;

import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;
import org.sequoiareach.client.command.AbstractCommand;
import org.sequoiareach.client.command.CommandException;
import org.sequoiareach.client.command.CommandResult;
import org.sequoiareach.client.command.ExitCode;
import org.sequoiareach.client.command.Failure;
import org.sequoiareach.client.command.JsonText;

/** Runs one command line and prints its result. */
public final class ClientProgram {

  private static final String NAME = "sequoiareach";
  private static final String VERSION = "0.1.0";
  private static final int USAGE_WIDTH = 100;

  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a program.
   *
   * @param out where results go, and with {@code --json} failures too
   * @param err where failures go
   */
  public ClientProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs a command line.
   *
   * @param args the command line
   * @return the exit code
   */
  public ExitCode run(String... args) {
    List<String> words = List.of(args);
    boolean json = words.contains("--json");
    try {
      return run(words);
    } catch (CmdLineException e) {
      return fail(new Failure(e.getMessage(), ExitCode.USAGE, List.of()), json);
    } catch (CommandException e) {
      return fail(Failure.of(e), json);
    } catch (RuntimeException e) {
      return fail(new Failure("Unexpected: " + e, ExitCode.FAILED, List.of()), json);
    }
  }

  private ExitCode run(List<String> words) throws CmdLineException {
    if (words.contains("--check-settings")) {
      return run(new CheckSettingsCommand(), "", words);
    }
    Optional<CommandEntry> entry = CommandEntry.find(words);
    if (entry.isPresent()) {
      int named = entry.get().words().size();
      return run(
          entry.get().factory().get(), entry.get().name(), words.subList(named, words.size()));
    }
    if (words.contains("--version")) {
      out.println(NAME + " " + VERSION);
      return ExitCode.OK;
    }
    if (words.contains("--help")) {
      out.println(overview());
      return ExitCode.OK;
    }
    String named = words.isEmpty() ? "No command is named" : "There is no such command";
    throw new CommandException(ExitCode.USAGE, named + "; see " + NAME + " --help.");
  }

  private ExitCode run(AbstractCommand command, String name, List<String> words)
      throws CmdLineException {
    ParserProperties properties =
        ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(false);
    CmdLineParser parser = new CmdLineParser(command, properties);
    parser.parseArgument(words);
    if (command.version()) {
      out.println(NAME + " " + VERSION);
      return ExitCode.OK;
    }
    if (command.help()) {
      out.println(usage(parser, name));
      return ExitCode.OK;
    }
    CommandResult result = command.run();
    out.println(command.json() ? JsonText.of(result) : result.text());
    return result.exitCode();
  }

  private ExitCode fail(Failure failure, boolean json) {
    if (json) {
      out.println(JsonText.of(failure));
    } else {
      err.println(failure.text());
    }
    return failure.exitCode();
  }

  private static String usage(CmdLineParser parser, String name) {
    StringWriter text = new StringWriter();
    text.append(NAME).append(" ").append(name);
    parser.printSingleLineUsage(text, null);
    text.append("\n");
    parser.printUsage(text, null, OptionHandlerFilter.ALL);
    return text.toString().stripTrailing();
  }

  private static String overview() {
    StringBuilder text = new StringBuilder(NAME + " COMMAND [options]\n");
    for (CommandEntry entry : CommandEntry.ALL) {
      text.append(String.format("  %-16s %s%n", entry.name(), entry.summary()));
    }
    text.append(String.format("  %-16s %s%n", "--check-settings", "only check the settings"));
    text.append("Every command takes --help, --version, --json and --settings FILE.\nExit codes:");
    Arrays.stream(ExitCode.values()).forEach(code -> text.append(" ").append(describe(code)));
    return text.toString();
  }

  private static String describe(ExitCode code) {
    return code.code() + " " + code.name().toLowerCase(Locale.ROOT);
  }
}
