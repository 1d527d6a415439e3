/**
 * Joins several reducers by queues that delay, cut and stall, and checks what callers and targets
 * saw.
 */
package org.sequoiareach.decision.fuzz;
