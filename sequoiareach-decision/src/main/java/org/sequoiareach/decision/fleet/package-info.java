/**
 * Tracks the targets of routed services: their availability and their use by this and other
 * daemons.
 */
package org.sequoiareach.decision.fleet;
