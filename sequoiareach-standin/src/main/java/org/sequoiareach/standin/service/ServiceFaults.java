package org.sequoiareach.standin.service;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of a simulated service.
 *
 * @param failBeforeRun the number of upcoming calls whose connection is closed before execution
 * @param dropAfterRun the number of upcoming calls that are executed and whose connection is then
 *     closed without a response
 * @param refuse the number of upcoming calls that are rejected with status 503 before execution
 * @param delayMs the delay in milliseconds between the arrival of a call and its execution
 * @param status the status of responses after execution; 0 for 200
 */
public record ServiceFaults(
    int failBeforeRun, int dropAfterRun, int refuse, long delayMs, int status) {

  /** All faults switched off. */
  public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, 0);

  private static final int MAX_STATUS = 599;

  /** Validates the switches. */
  public ServiceFaults {
    Check.inRange(failBeforeRun, 0, Integer.MAX_VALUE, "failBeforeRun");
    Check.inRange(dropAfterRun, 0, Integer.MAX_VALUE, "dropAfterRun");
    Check.inRange(refuse, 0, Integer.MAX_VALUE, "refuse");
    Check.inRange(delayMs, 0, Integer.MAX_VALUE, "delayMs");
    Check.inRange(status, 0, MAX_STATUS, "status");
  }
}
