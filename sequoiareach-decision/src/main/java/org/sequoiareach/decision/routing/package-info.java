/**
 * Routing at the daemon that receives a request: chooses the target, and thereby the owner, of each
 * attempt.
 *
 * <p>{@link org.sequoiareach.decision.routing.RoutingStrategy} is the central interface. The
 * package also contains the ejection of unhealthy targets, the retry budget and the retry backoff.
 */
package org.sequoiareach.decision.routing;
