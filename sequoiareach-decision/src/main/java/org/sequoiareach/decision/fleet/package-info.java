/** Knows the targets of routed services: who may get work, and how much each has in hand. */
package org.sequoiareach.decision.fleet;
