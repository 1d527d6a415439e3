package org.sequoiareach.standin.engine;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of one engine stand-in. A group that is absent has its defaults.
 *
 * @param listen the address to listen on; port 0 takes a free port
 * @param id the identity of the engine
 * @param zone its availability zone
 * @param models the models loaded at the start
 * @param steps how long steps take
 * @param memory its memory
 * @param answers how long answers are
 * @param reports how late it tells of itself
 * @param life its queue, the keeping of answers, its leaving and orders
 */
public record EngineSettings(
    String listen,
    String id,
    String zone,
    List<String> models,
    StepSettings steps,
    MemorySettings memory,
    AnswerSettings answers,
    ReportSettings reports,
    LifeSettings life) {

  /** Checks the parts and sets the absent ones. */
  public EngineSettings {
    Check.hasText(listen, "listen");
    Check.hasText(id, "id");
    Check.hasText(zone, "zone");
    Check.isTrue(models != null && !models.isEmpty(), "'models' must name at least one model.");
    models = List.copyOf(models);
    steps = steps == null ? StepSettings.DEFAULT : steps;
    memory = memory == null ? MemorySettings.DEFAULT : memory;
    answers = answers == null ? AnswerSettings.DEFAULT : answers;
    reports = reports == null ? ReportSettings.DEFAULT : reports;
    life = life == null ? LifeSettings.DEFAULT : life;
  }

  /**
   * Creates settings with the defaults for all groups, on a free port of the loopback address.
   *
   * @param id the identity of the engine
   * @param models the models loaded at the start
   * @return the settings
   */
  public static EngineSettings of(String id, String... models) {
    return new EngineSettings(
        "127.0.0.1:0", id, "zone-a", List.of(models), null, null, null, null, null);
  }

  /**
   * Copies these settings with other step times.
   *
   * @param other the step times
   * @return the copy
   */
  public EngineSettings withSteps(StepSettings other) {
    return new EngineSettings(listen, id, zone, models, other, memory, answers, reports, life);
  }

  /**
   * Copies these settings with another memory.
   *
   * @param other the memory
   * @return the copy
   */
  public EngineSettings withMemory(MemorySettings other) {
    return new EngineSettings(listen, id, zone, models, steps, other, answers, reports, life);
  }

  /**
   * Copies these settings with other reports.
   *
   * @param other the reports
   * @return the copy
   */
  public EngineSettings withReports(ReportSettings other) {
    return new EngineSettings(listen, id, zone, models, steps, memory, answers, other, life);
  }

  /**
   * Copies these settings with another queue, keeping, leaving and order checks.
   *
   * @param other the life settings
   * @return the copy
   */
  public EngineSettings withLife(LifeSettings other) {
    return new EngineSettings(listen, id, zone, models, steps, memory, answers, reports, other);
  }
}
