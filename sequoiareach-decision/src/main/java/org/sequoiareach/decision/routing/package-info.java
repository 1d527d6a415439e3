/** Chooses the target, and with it the owner, that a request is tried on. */
package org.sequoiareach.decision.routing;
