package org.sequoiareach.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.sequoiareach.load.compare.Comparison;
import org.sequoiareach.load.compare.ComparisonReport;
import org.sequoiareach.load.compare.ComparisonWriter;
import org.sequoiareach.load.settings.CompareSettings;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.load.settings.SettingsReader;

/** Runs several policies on the same traces and reports them side by side. */
public final class CompareCommand implements Command {

  @Option(name = "--settings", metaVar = "FILE", required = true, usage = "the settings file")
  private Path settings;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
  private boolean help;

  @Option(name = "--check-settings", usage = "check the settings only")
  private boolean checkOnly;

  @Option(name = "--out", metaVar = "DIRECTORY", usage = "where the report goes")
  private Path out = Path.of("comparison");

  @Override
  public int execute(PrintStream console) throws IOException, InterruptedException {
    if (help) {
      new CmdLineParser(this).printUsage(console);
      return ExitCodes.OK;
    }
    SettingsReader reader = new SettingsReader();
    CompareSettings read = reader.readCompare(settings);
    RunSettings run = reader.readRun(settings.resolveSibling(read.run()));
    if (checkOnly) {
      console.println("The settings are right.");
      return ExitCodes.OK;
    }
    ComparisonReport report = new Comparison(read, run, console).execute();
    ComparisonWriter.write(report, out);
    console.println("The report is in " + out);
    return report.violations() == 0 ? ExitCodes.OK : ExitCodes.VIOLATIONS;
  }
}
