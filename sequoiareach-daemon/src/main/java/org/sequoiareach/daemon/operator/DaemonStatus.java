package org.sequoiareach.daemon.operator;

/**
 * Holds what a daemon tells operators of itself.
 *
 * @param daemonId its identity
 * @param zone its availability zone
 * @param version its program version
 * @param ready whether it takes callers
 * @param readyReason why not, where it does not
 * @param sheetVersion the version of the sheet in use; 0 for none
 * @param requestsInProgress requests it took and has not answered
 * @param attemptsOwned attempts that run or wait on targets it owns
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
