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
import org.sequoiareach.load.settings.PolicyRun;
import org.sequoiareach.load.settings.RunSettings;
import org.sequoiareach.model.Check;

/**
 * Runs every policy at every load factor and seed.
 *
 * <p>It starts no process: the daemons and targets of each policy already run.
 */
public final class Comparison {

  private final CompareSettings settings;
  private final RunSettings run;
  private final PrintStream progress;

  /**
   * Creates a comparison.
   *
   * @param settings what is compared
   * @param run the load of each run
   * @param progress where the report of each run is printed
   */
  public Comparison(CompareSettings settings, RunSettings run, PrintStream progress) {
    this.settings = Check.notNull(settings, "settings");
    this.run = Check.notNull(run, "run");
    this.progress = Check.notNull(progress, "progress");
  }

  /**
   * Runs the comparison.
   *
   * @return the figures
   * @throws InterruptedException if the thread is interrupted
   */
  public ComparisonReport execute() throws InterruptedException {
    List<PolicyReport> reports = new ArrayList<>();
    for (double factor : settings.loadFactors()) {
      for (long seed : settings.seeds()) {
        RunSettings chosen = run.with(Optional.of(seed), Optional.of(factor));
        List<PolicyReport> round =
            settings.simultaneous() ? runTogether(chosen) : runInTurn(chosen);
        round.forEach(this::print);
        reports.addAll(round);
        Thread.sleep(settings.pauseMs());
      }
    }
    return ComparisonReport.of(settings.name(), reports);
  }

  private List<PolicyReport> runInTurn(RunSettings chosen) throws InterruptedException {
    List<PolicyReport> reports = new ArrayList<>();
    for (PolicyRun policy : settings.policies()) {
      reports.add(runOne(policy, chosen));
      Thread.sleep(settings.pauseMs());
    }
    return reports;
  }

  private List<PolicyReport> runTogether(RunSettings chosen) {
    List<CompletableFuture<PolicyReport>> running =
        settings.policies().stream()
            .map(
                policy ->
                    CompletableFuture.supplyAsync(
                        () -> runQuietly(policy, chosen), Comparison::startThread))
            .toList();
    return running.stream().map(CompletableFuture::join).toList();
  }

  private static void startThread(Runnable task) {
    new Thread(task, "policy-run").start();
  }

  private static PolicyReport runQuietly(PolicyRun policy, RunSettings chosen) {
    try {
      return runOne(policy, chosen);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("A run was interrupted.", e);
    }
  }

  private static PolicyReport runOne(PolicyRun policy, RunSettings chosen)
      throws InterruptedException {
    try (LoadRunner runner = new LoadRunner()) {
      RunSettings aimed = chosen.against(policy.callers(), policy.targets());
      return new PolicyReport(policy.name(), RunReport.of(runner.run(aimed)));
    }
  }

  private void print(PolicyReport done) {
    progress.println("== " + done.policy());
    progress.println(TextReport.write(done.report()));
  }
}
