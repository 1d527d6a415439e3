/**
 * Draws the requests of a run from its seed: when they arrive, who sends them, how long they are.
 */
package org.sequoiareach.load.trace;
