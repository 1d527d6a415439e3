package org.sequoiareach.decision.membership;

/**
 * Holds a probe made for another daemon.
 *
 * @param forDaemon the daemon that asked
 * @param theirSequence the number to answer it with
 * @param deadlineMs when an answer is of no use any more
 */
record RelayedProbe(String forDaemon, long theirSequence, long deadlineMs) {}
