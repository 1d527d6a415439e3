/**
 * Keeps spending within each organisation's plan of the day, and shares capacity fairly.
 *
 * <p>A daemon spends only from portions of the plan that were written to the ledger before. What a
 * daemon that crashes had not spent of its portions stays unspent for the day; nothing is spent
 * that the ledger does not show.
 */
package org.sequoiareach.decision.budget;
