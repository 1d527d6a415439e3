package org.sequoiareach.load.compare;

import java.io.IOException;
import java.nio.file.Path;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.category.DefaultCategoryDataset;

/** Plots a measure of all policies by load factor as a PNG file. Runs headless. */
final class PlotWriter {

  private static final int WIDTH_PX = 800;
  private static final int HEIGHT_PX = 450;

  private PlotWriter() {}

  static void write(ComparisonReport report, Measure measure, Path directory) throws IOException {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    for (PolicySummary summary : report.summaries()) {
      String factor = Double.toString(summary.loadFactor());
      data.addValue(measure.of(summary), summary.policy(), factor);
    }
    JFreeChart chart =
        ChartFactory.createBarChart(measure.title(), "load factor", measure.unit(), data);
    Path file = directory.resolve(measure.fileName());
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PX, HEIGHT_PX);
  }
}
