package org.sequoiareach.standin.service;

import java.util.List;
import java.util.Map;

/**
 * Records the calls of a simulated service.
 *
 * @param id the identifier of the instance
 * @param executions the number of calls executed
 * @param failedBeforeRun the number of calls that a fault ended before execution
 * @param droppedAfterRun the number of executed calls whose response a fault suppressed
 * @param runsByKey the number of executions by idempotency key
 * @param calls the executed calls, up to the configured limit
 */
public record ServiceRecord(
    String id,
    long executions,
    long failedBeforeRun,
    long droppedAfterRun,
    Map<String, Long> runsByKey,
    List<ServiceCall> calls) {

  /** Copies the collections. */
  public ServiceRecord {
    runsByKey = Map.copyOf(runsByKey);
    calls = List.copyOf(calls);
  }
}
