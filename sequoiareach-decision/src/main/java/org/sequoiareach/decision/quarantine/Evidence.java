package org.sequoiareach.decision.quarantine;

/**
 * What a daemon knows of crashes and of the requests that targets survived.
 *
 * @param daemonId the daemon
 * @param crashes the crashes, as reported by all daemons
 * @param soundRuns the requests of this daemon that targets survived
 * @param quarantines the quarantines of all daemons
 */
public record Evidence(
    String daemonId,
    CrashHistory crashes,
    SoundRunHistory soundRuns,
    QuarantineRegistry quarantines) {}
