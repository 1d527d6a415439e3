package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.sequoiareach.load.compare.ComparisonReport;
import org.sequoiareach.load.compare.ComparisonWriter;
import org.sequoiareach.load.compare.PolicyComparison;
import org.sequoiareach.load.settings.CompareSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.SettingsReader;

/**
 * The {@code compare} command: runs several policies on the same traces and reports the results
 * side by side.
 */
public final class CompareCommand implements Command {

  @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the settings file")
  private Path settings;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
  private boolean help;

  @Option(name = "--check-settings", usage = "only validate the settings")
  private boolean checkOnly;

  @Option(name = "--out", metaVar = "DIRECTORY", usage = "the output directory of the report")
  private Path out = Path.of("comparison");

  @Override
  public int execute(PrintStream console) throws IOException, InterruptedException {
    if (help) {
      new CmdLineParser(this).printUsage(console);
      return ExitCodes.OK;
    }
    SettingsReader reader = new SettingsReader();
    CompareSettings compareSettings = reader.readCompare(settings);
    RunSettings runSettings = reader.readRun(settings.resolveSibling(compareSettings.run()));
    if (checkOnly) {
      console.println("The settings are valid.");
      return ExitCodes.OK;
    }
    ComparisonReport report = new PolicyComparison(compareSettings, runSettings, console).execute();
    ComparisonWriter.write(report, out);
    console.println("Report written to " + out);
    return report.violations() == 0 ? ExitCodes.OK : ExitCodes.VIOLATIONS;
  }
}
