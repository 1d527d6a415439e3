package org.sequoiareach.standin.engine;

import java.util.List;
import org.sequoiareach.model.Check;

/**
 * Holds the settings of one simulated engine. Absent groups have defaults.
 *
 * @param listen the address to listen on; port 0 selects a free port
 * @param id the identifier of the engine
 * @param zone the availability zone of the engine
 * @param models the models loaded at startup
 * @param steps the duration of batch steps
 * @param memory the KV cache
 * @param answers the length of outputs
 * @param reports the lag and loss of load reports and cache events
 * @param life the queue limit, the retention of outputs, the shutdown and the check of orders
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
    LifecycleSettings life) {

  /** Validates the settings and applies defaults to absent ones. */
  public EngineSettings {
    Check.hasText(listen, "listen");
    Check.hasText(id, "id");
    Check.hasText(zone, "zone");
    Check.isTrue(models != null && !models.isEmpty(), "'models' must contain at least one model.");
    models = List.copyOf(models);
    steps = steps == null ? StepSettings.DEFAULT : steps;
    memory = memory == null ? MemorySettings.DEFAULT : memory;
    answers = answers == null ? AnswerSettings.DEFAULT : answers;
    reports = reports == null ? ReportSettings.DEFAULT : reports;
    life = life == null ? LifecycleSettings.DEFAULT : life;
  }

  /**
   * Creates settings with defaults for all groups, on a free port of the loopback interface.
   *
   * @param id the identifier of the engine
   * @param models the models loaded at startup
   * @return the settings
   */
  public static EngineSettings of(String id, String... models) {
    return new EngineSettings(
        "127.0.0.1:0", id, "zone-a", List.of(models), null, null, null, null, null);
  }

  /**
   * Returns a copy of these settings with other step durations.
   *
   * @param other the step durations
   * @return the copy
   */
  public EngineSettings withSteps(StepSettings other) {
    return new EngineSettings(listen, id, zone, models, other, memory, answers, reports, life);
  }

  /**
   * Returns a copy of these settings with another KV cache.
   *
   * @param other the settings of the KV cache
   * @return the copy
   */
  public EngineSettings withMemory(MemorySettings other) {
    return new EngineSettings(listen, id, zone, models, steps, other, answers, reports, life);
  }

  /**
   * Returns a copy of these settings with other report settings.
   *
   * @param other the report settings
   * @return the copy
   */
  public EngineSettings withReports(ReportSettings other) {
    return new EngineSettings(listen, id, zone, models, steps, memory, answers, other, life);
  }

  /**
   * Returns a copy of these settings with other lifecycle settings.
   *
   * @param other the lifecycle settings
   * @return the copy
   */
  public EngineSettings withLifecycle(LifecycleSettings other) {
    return new EngineSettings(listen, id, zone, models, steps, memory, answers, reports, other);
  }
}
