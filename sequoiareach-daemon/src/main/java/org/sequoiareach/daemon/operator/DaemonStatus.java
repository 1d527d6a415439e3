package org.sequoiareach.daemon.operator;

/**
 * The status of a daemon as reported to operators.
 *
 * @param daemonId the ID of the daemon
 * @param zone its availability zone
 * @param version its program version
 * @param ready whether it accepts requests of callers
 * @param readyReason why it is not ready; empty if it is
 * @param sheetVersion the version of the sheet in use; 0 if there is none
 * @param requestsInProgress the number of accepted requests without a final answer
 * @param attemptsOwned the number of attempts that are running or queued on targets that it owns
 */
public record DaemonStatus(
    String daemonId,
    String zone,
    String version,
    boolean ready,
    String readyReason,
    long sheetVersion,
    int requestsInProgress,
    int attemptsOwned) {}
