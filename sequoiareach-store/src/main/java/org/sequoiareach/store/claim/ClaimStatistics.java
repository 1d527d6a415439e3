package org.sequoiareach.store.claim;

/**
 * Counts the work of a claim registry, for metrics.
 *
 * @param waitingClaims claims that wait to be sent
 * @param waitingSettlements claims that wait to be given back or marked finished
 * @param abandonedSettlements claims left to expire because too many settlements waited
 * @param openClaims claims that stand under an author of this registry and are not settled
 */
public record ClaimStatistics(
    int waitingClaims, int waitingSettlements, long abandonedSettlements, int openClaims) {}
