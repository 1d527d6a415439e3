/**
 * Daily token plans and fair sharing of capacity between organisations.
 *
 * <p>A daemon leases portions of an organisation's plan and records each lease in a ledger before
 * it uses the tokens, so usage does not exceed what the ledger shows. The only exception is usage
 * without a reservation, which the account records as debt and the next portion covers. The unused
 * portions of a daemon that crashes stay unused for the rest of the day.
 */
package org.sequoiareach.decision.budget;
