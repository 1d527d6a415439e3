package org.sequoiareach.standin.service;

import java.util.List;
import java.util.Map;

/**
 * Says what a plain service stand-in saw.
 *
 * @param id the identity of the instance
 * @param executions the calls that ran
 * @param failedBeforeRun the calls that a fault ended before they ran
 * @param droppedAfterRun the calls that ran and got no answer because of a fault
 * @param runsByKey how often a call ran, by idempotency key
 * @param calls the calls that ran, up to the number kept
 */
public record ServiceRecord(
    String id,
    long executions,
    long failedBeforeRun,
    long droppedAfterRun,
    Map<String, Long> runsByKey,
    List<ServiceCall> calls) {

  /** Copies the parts. */
  public ServiceRecord {
    runsByKey = Map.copyOf(runsByKey);
    calls = List.copyOf(calls);
  }
}
