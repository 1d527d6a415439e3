package org.sequoiareach.load.compare;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiareach.load.report.RunReport;
import org.sequoiareach.load.report.TextReport;
import org.sequoiareach.load.run.LoadRunner;
import org.sequoiareach.load.settings.CompareSettings;
import org.sequoiareach.load.settings.PolicyDeployment;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.model.Check;

/**
 * Runs every policy of a comparison at every load factor and with every seed.
 *
 * <p>Starts no processes: the daemons and targets of every policy must already be running.
 */
public final class PolicyComparison {

  private final CompareSettings settings;
  private final RunSettings run;
  private final PrintStream progress;

  /**
   * Creates a comparison.
   *
   * @param settings the settings of the comparison
   * @param run the settings of each run, except seed, load factor and endpoints
   * @param progress the stream for the report of each run
   */
  public PolicyComparison(CompareSettings settings, RunSettings run, PrintStream progress) {
    this.settings = Check.notNull(settings, "settings");
    this.run = Check.notNull(run, "run");
    this.progress = Check.notNull(progress, "progress");
  }

  /**
   * Runs the comparison.
   *
   * @return the report
   * @throws InterruptedException if the thread is interrupted
   */
  public ComparisonReport execute() throws InterruptedException {
    List<PolicyReport> reports = new ArrayList<>();
    for (double factor : settings.loadFactors()) {
      for (long seed : settings.seeds()) {
        RunSettings runSettings = run.withOverrides(Optional.of(seed), Optional.of(factor));
        List<PolicyReport> completed =
            settings.simultaneous() ? runConcurrently(runSettings) : runSequentially(runSettings);
        completed.forEach(this::print);
        reports.addAll(completed);
        Thread.sleep(settings.pauseMs());
      }
    }
    return ComparisonReport.of(settings.name(), reports);
  }

  private List<PolicyReport> runSequentially(RunSettings runSettings) throws InterruptedException {
    List<PolicyReport> reports = new ArrayList<>();
    for (PolicyDeployment policy : settings.policies()) {
      reports.add(runPolicy(policy, runSettings));
      Thread.sleep(settings.pauseMs());
    }
    return reports;
  }

  private List<PolicyReport> runConcurrently(RunSettings runSettings) {
    List<CompletableFuture<PolicyReport>> futures =
        settings.policies().stream()
            .map(
                policy ->
                    CompletableFuture.supplyAsync(
                        () -> runUnchecked(policy, runSettings), PolicyComparison::startThread))
            .toList();
    return futures.stream().map(CompletableFuture::join).toList();
  }

  private static void startThread(Runnable task) {
    new Thread(task, "policy-run").start();
  }

  private static PolicyReport runUnchecked(PolicyDeployment policy, RunSettings runSettings) {
    try {
      return runPolicy(policy, runSettings);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("Run of policy '" + policy.name() + "' was interrupted.", e);
    }
  }

  private static PolicyReport runPolicy(PolicyDeployment policy, RunSettings runSettings)
      throws InterruptedException {
    try (LoadRunner runner = new LoadRunner()) {
      RunSettings deployed = runSettings.withEndpoints(policy.callers(), policy.targets());
      return new PolicyReport(policy.name(), RunReport.of(runner.run(deployed)));
    }
  }

  private void print(PolicyReport completed) {
    progress.println("== " + completed.policy());
    progress.println(TextReport.write(completed.report()));
  }
}
