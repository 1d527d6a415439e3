package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.report.TextReport;
import org.sequoiareach.load.run.LoadRunner;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.SettingsReader;
import org.sequoiareach.load.settings.Targets;
import org.sequoiareach.model.json.Json;

/** Runs one load and reports it. */
public final class RunCommand implements Command {

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

  @Option(
      name = "--callers",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "the addresses to send to in place of those of the settings")
  private List<String> callers = new ArrayList<>();

  @Option(
      name = "--engines",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "the engines to compare with in place of those of the settings")
  private List<String> engines = new ArrayList<>();

  @Option(
      name = "--services",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "the services to compare with in place of those of the settings")
  private List<String> services = new ArrayList<>();

  @Option(
      name = "--class",
      metaVar = "NAME",
      usage = "send only this class, at its own rate; may be given again")
  private List<String> classes = new ArrayList<>();

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
    RunReport report = run(adapt(read));
    out.print(TextReport.write(report));
    if (json != null) {
      Files.writeString(json, Json.mapper().writeValueAsString(report));
    }
    return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.VIOLATIONS;
  }

  private RunSettings adapt(RunSettings read) {
    RunSettings chosen =
        read.only(classes).with(Optional.ofNullable(seed), Optional.ofNullable(loadFactor));
    List<String> to = callers.isEmpty() ? read.callers() : callers;
    boolean sameTargets = engines.isEmpty() && services.isEmpty();
    return chosen.against(to, sameTargets ? read.targets() : new Targets(engines, services));
  }

  private static RunReport run(RunSettings settings) throws InterruptedException {
    try (LoadRunner runner = new LoadRunner()) {
      return RunReport.of(runner.run(settings));
    }
  }
}
