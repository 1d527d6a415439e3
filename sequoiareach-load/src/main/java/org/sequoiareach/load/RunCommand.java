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

/** The {@code run} command: runs a load test and reports the results. */
public final class RunCommand implements Command {

  @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the settings file")
  private Path settings;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
  private boolean help;

  @Option(name = "--check-settings", usage = "only validate the settings")
  private boolean checkOnly;

  @Option(name = "--seed", metaVar = "N", usage = "override the seed of the settings")
  private Long seed;

  @Option(name = "--load-factor", metaVar = "X", usage = "override the load factor of the settings")
  private Double loadFactor;

  @Option(
      name = "--callers",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "override the addresses to send requests to")
  private List<String> callers = new ArrayList<>();

  @Option(
      name = "--engines",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "override the engines whose records are checked")
  private List<String> engines = new ArrayList<>();

  @Option(
      name = "--services",
      metaVar = "URL",
      handler = StringArrayOptionHandler.class,
      usage = "override the services whose records are checked")
  private List<String> services = new ArrayList<>();

  @Option(
      name = "--class",
      metaVar = "NAME",
      usage = "send only this request class, at its own rate; repeatable")
  private List<String> classes = new ArrayList<>();

  @Option(name = "--json", metaVar = "FILE", usage = "also write the report to a JSON file")
  private Path json;

  @Override
  public int execute(PrintStream out) throws IOException, InterruptedException {
    if (help) {
      new CmdLineParser(this).printUsage(out);
      return ExitCodes.OK;
    }
    RunSettings configured = new SettingsReader().readRun(settings);
    if (checkOnly) {
      out.println("The settings are valid.");
      return ExitCodes.OK;
    }
    RunReport report = run(applyOverrides(configured));
    out.print(TextReport.write(report));
    if (json != null) {
      Files.writeString(json, Json.mapper().writeValueAsString(report));
    }
    return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.VIOLATIONS;
  }

  private RunSettings applyOverrides(RunSettings configured) {
    RunSettings overridden =
        configured
            .withClasses(classes)
            .withOverrides(Optional.ofNullable(seed), Optional.ofNullable(loadFactor));
    List<String> addresses = callers.isEmpty() ? configured.callers() : callers;
    boolean configuredTargets = engines.isEmpty() && services.isEmpty();
    return overridden.withEndpoints(
        addresses, configuredTargets ? configured.targets() : new Targets(engines, services));
  }

  private static RunReport run(RunSettings settings) throws InterruptedException {
    try (LoadRunner runner = new LoadRunner()) {
      return RunReport.of(runner.run(settings));
    }
  }
}
