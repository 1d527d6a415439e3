package org.sequoiareach.decision.admission;

/**
 * The share of a daemon that hears nothing from the others. Immutable.
 *
 * @param daemons the number of live daemons, including this one
 * @param ownTokens the memory that the runs of this daemon hold, in tokens
 */
public record FleetShare(int daemons, long ownTokens) {}
