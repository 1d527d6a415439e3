/**
 * Shares the rate of requests that a target accepts from all daemons together.
 *
 * <p>Each daemon holds an equal share of the rate and lends it, for a short time, to the daemon
 * that owns the target. The owner adds up the shares that it holds and issues permits at their sum.
 * A share is never lent to two daemons at once, so all owners together stay within the rate, also
 * while daemons disagree about who owns the target or cannot reach each other.
 */
package org.sequoiareach.decision.limit;
