package org.sequoiareach.store.claim;

/**
 * A snapshot of the queue sizes and counters of a claim registry, for metrics.
 *
 * @param waitingClaims number of claims queued for a transaction
 * @param waitingSettlements number of claims queued to be released or marked finished
 * @param abandonedSettlements number of claims left to expire because the settlement queue was full
 * @param openClaims number of claims held by authors of this registry and not yet settled
 */
public record ClaimStatistics(
    int waitingClaims, int waitingSettlements, long abandonedSettlements, int openClaims) {}
