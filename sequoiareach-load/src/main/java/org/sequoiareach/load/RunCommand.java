package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.report.TextReport;
import org.sequoiareach.load.run.LoadRunner;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.SettingsReader;
import org.sequoiareach.model.json.Json;

/** Runs one load and reports it. */
final class RunCommand implements Command {

  @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the settings file")
  private Path settings;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
  private boolean help;

  @Option(name = "--check-settings", usage = "check the settings only")
  private boolean checkOnly;

  @Option(name = "--seed", metaVar = "N", usage = "the seed in place of that of the settings")
  private Long seed;

  @Option(
      name = "--load-factor",
      metaVar = "X",
      usage = "the load factor in place of the settings'")
  private Double loadFactor;

  @Option(name = "--json", metaVar = "FILE", usage = "also write the report as JSON")
  private Path json;

  @Override
  public int execute(PrintStream out) throws IOException, InterruptedException {
    if (help) {
      new CmdLineParser(this).printUsage(out);
      return ExitCodes.OK;
    }
    RunSettings read = new SettingsReader().readRun(settings);
    if (checkOnly) {
      out.println("The settings are right.");
      return ExitCodes.OK;
    }
    RunReport report = run(read.with(Optional.ofNullable(seed), Optional.ofNullable(loadFactor)));
    out.print(TextReport.write(report));
    if (json != null) {
      Files.writeString(json, Json.mapper().writeValueAsString(report));
    }
    return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.VIOLATIONS;
  }

  private static RunReport run(RunSettings settings) throws InterruptedException {
    try (LoadRunner runner = new LoadRunner()) {
      return RunReport.of(runner.run(settings));
    }
  }
}
