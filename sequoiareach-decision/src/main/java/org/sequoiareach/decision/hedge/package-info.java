/**
 * Decides when a repeatable request that is answered late is sent to a second target.
 *
 * <p>The delay is a quantile of the recent answers of the service. A budget limits the share of
 * requests that are sent twice, and hedging pauses where it does not help.
 */
package org.sequoiareach.decision.hedge;
