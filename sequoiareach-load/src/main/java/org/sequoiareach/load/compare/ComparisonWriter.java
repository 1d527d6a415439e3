package org.sequoiareach.load.compare;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiareach.model.json.Json;

/** Writes a comparison report as JSON, Markdown and plots. */
public final class ComparisonWriter {

  private ComparisonWriter() {}

  /**
   * Writes a comparison report.
   *
   * @param report the report
   * @param directory the output directory; created if missing
   * @throws IOException if a file cannot be written
   */
  public static void write(ComparisonReport report, Path directory) throws IOException {
    System.setProperty("java.awt.headless", "true");
    Files.createDirectories(directory);
    Files.writeString(directory.resolve("report.json"), Json.mapper().writeValueAsString(report));
    Files.writeString(directory.resolve("report.md"), MarkdownReport.write(report));
    for (Measure measure : Measure.values()) {
      PlotWriter.write(report, measure, directory);
    }
  }
}
