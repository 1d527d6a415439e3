package org.sequoiareach.decision.admission;

import org.sequoiareach.model.Check;

/**
 * A generation as admission sees it. Immutable.
 *
 * @param callId the identifier of the call
 * @param service the service whose engines may run it
 * @param tenant the organisation of the caller; empty if there is none
 * @param priority the urgency; 0 is the most urgent
 * @param promptTokens the length of the prompt, in tokens
 * @param memoryTokens the memory that the run is expected to hold at its end, in tokens
 * @param shortRun whether the run ends soon after its first token
 * @param targetLatencyMs the target time to the first token, in milliseconds
 * @param arrivedMs when the call arrived, in milliseconds
 * @param onTimeStartMs the latest start for a first token within the target, in milliseconds
 * @param latestStartMs the latest start for an end within the deadline, in milliseconds
 * @param deadlineMs when the caller gives up, in milliseconds
 * @param returned whether the caller has used up so much of its time that it was probably refused
 *     before
 */
public record WaitingCall(
    String callId,
    String service,
    String tenant,
    int priority,
    long promptTokens,
    long memoryTokens,
    boolean shortRun,
    long targetLatencyMs,
    long arrivedMs,
    long onTimeStartMs,
    long latestStartMs,
    long deadlineMs,
    boolean returned) {

  /** Validates the components. */
  public WaitingCall {
    Check.hasText(callId, "callId");
    Check.hasText(service, "service");
    Check.notNull(tenant, "tenant");
    Check.inRange(promptTokens, 0, Long.MAX_VALUE, "promptTokens");
    Check.inRange(memoryTokens, 0, Long.MAX_VALUE, "memoryTokens");
  }

  /** Returns whether the first token can no longer be on time. */
  boolean isLate(long nowMs) {
    return nowMs > onTimeStartMs;
  }
}
