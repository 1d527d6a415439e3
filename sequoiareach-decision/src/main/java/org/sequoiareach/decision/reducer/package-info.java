/**
 * Joins all decisions of a daemon in one reducer: the daemon's role as entry of requests and its
 * role as owner of targets.
 */
package org.sequoiareach.decision.reducer;
