/**
 * The reducer that takes all decisions of a daemon.
 *
 * <p>A daemon coordinates the requests of its callers and owns a share of the targets. The owner of
 * a target decides when attempts start on it, for requests of its own callers and for attempts that
 * other daemons forward.
 */
package org.sequoiareach.decision.reducer;
