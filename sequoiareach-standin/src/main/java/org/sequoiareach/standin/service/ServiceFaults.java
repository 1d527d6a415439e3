package org.sequoiareach.standin.service;

import org.sequoiareach.model.Check;

/**
 * Holds the fault switches of a plain service stand-in.
 *
 * @param failBeforeRun how many of the next calls lose their connection before they run
 * @param dropAfterRun how many of the next calls run and then lose their connection without an
 *     answer
 * @param refuse how many of the next calls are answered 503 before they run
 * @param delayMs milliseconds between the arrival of a call and its run
 * @param status the status of the answers after the run; 0 for 200
 */
public record ServiceFaults(
    int failBeforeRun, int dropAfterRun, int refuse, long delayMs, int status) {

  /** The switches with every fault off. */
  public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, 0);

  private static final int MAX_STATUS = 599;

  /** Checks the parts. */
  public ServiceFaults {
    Check.inRange(failBeforeRun, 0, Integer.MAX_VALUE, "failBeforeRun");
    Check.inRange(dropAfterRun, 0, Integer.MAX_VALUE, "dropAfterRun");
    Check.inRange(refuse, 0, Integer.MAX_VALUE, "refuse");
    Check.inRange(delayMs, 0, Integer.MAX_VALUE, "delayMs");
    Check.inRange(status, 0, MAX_STATUS, "status");
  }
}
