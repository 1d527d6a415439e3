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

/** Runs command lines and prints their results. */
public final class ClientProgram {

  private static final String NAME = "sequoiareach";
  private static final String VERSION = "0.1.0";
  private static final int USAGE_WIDTH = 100;

  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a program.
   *
   * @param out the stream for results, and with {@code --json} also for failures
   * @param err the stream for failures
   */
  public ClientProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs a command line.
   *
   * @param args the command line arguments
   * @return the exit code
   */
  public ExitCode run(String... args) {
    List<String> words = List.of(args);
    boolean json = words.contains("--json");
    try {
      return run(words);
    } catch (CmdLineException e) {
      return reportFailure(new Failure(e.getMessage(), ExitCode.USAGE, List.of()), json);
    } catch (CommandException e) {
      return reportFailure(Failure.of(e), json);
    } catch (RuntimeException e) {
      return reportFailure(new Failure("Unexpected error: " + e, ExitCode.FAILED, List.of()), json);
    }
  }

  private ExitCode run(List<String> words) throws CmdLineException {
    if (words.contains("--check-settings")) {
      return run(new CheckSettingsCommand(), "", words);
    }
    Optional<CommandEntry> entry = CommandEntry.find(words);
    if (entry.isPresent()) {
      int wordCount = entry.get().words().size();
      return run(
          entry.get().factory().get(), entry.get().name(), words.subList(wordCount, words.size()));
    }
    if (words.contains("--version")) {
      out.println(NAME + " " + VERSION);
      return ExitCode.OK;
    }
    if (words.contains("--help")) {
      out.println(overview());
      return ExitCode.OK;
    }
    String problem =
        words.isEmpty() ? "No command given" : "Unknown command '" + String.join(" ", words) + "'";
    throw new CommandException(ExitCode.USAGE, problem + "; see " + NAME + " --help.");
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

  private ExitCode reportFailure(Failure failure, boolean json) {
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
    text.append(String.format("  %-16s %s%n", "--check-settings", "only validate the settings"));
    text.append(
        "Every command accepts --help, --version, --json and --settings FILE.\nExit codes:");
    Arrays.stream(ExitCode.values()).forEach(code -> text.append(" ").append(describe(code)));
    return text.toString();
  }

  private static String describe(ExitCode code) {
    return code.code() + " " + code.name().toLowerCase(Locale.ROOT);
  }
}
